package gorserill.contract.read;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import com.fasterxml.jackson.dataformat.yaml.YAMLParser;
import gorserill.contract.read.Value.Kind;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.yaml.snakeyaml.LoaderOptions;

/**
 * Makes values of one document's bytes: JSON (RFC 8259) or YAML 1.2 as far as OpenAPI and AsyncAPI allow it:
 * one document, names that are texts, no tags. Anchors and aliases are followed; what they grow to is
 * bounded.
 */
final class DocumentReader {
    /** Bytes of a file. */
    static final int MAX_FILE = 32 << 20;
    /** Objects and lists within each other. */
    static final int MAX_DEPTH = 256;
    /**
     * Danger: aliases of aliases name a billion values in a few lines; so many are more than 32 MB spell out.
     */
    static final int MAX_VALUES = 8_000_000;
    /** Memory of a value of a description, with its share of the object that it is a member of. */
    private static final int BYTES_PER_VALUE = 200;

    private final String file;
    private final Faults faults;
    private final Headroom headroom;
    private final JsonParser parser;
    private final YAMLParser yaml;
    private final Map<String, Value> anchors = new HashMap<>();
    private final Map<String, Integer> sizes = new HashMap<>();
    private final StringBuilder pointer = new StringBuilder();
    private int values;

    /** What can't be told as a fault and gone past. */
    private static final class Broken extends Exception {
        private static final long serialVersionUID = 1L;
        private final transient Place place;
        private final String remedy;

        Broken(Place place, String what, String remedy) {
            super(what);
            this.place = place;
            this.remedy = remedy;
        }
    }

    private DocumentReader(String file, Faults faults, Headroom headroom, String text, boolean isYaml)
            throws IOException {
        this.file = file;
        this.headroom = headroom;
        this.faults = faults;
        if (isYaml) {
            LoaderOptions options = new LoaderOptions();
            options.setCodePointLimit(MAX_FILE);
            options.setNestingDepthLimit(2 * MAX_DEPTH);
            yaml = YAMLFactory.builder()
                    .loaderOptions(options)
                    // In YAML 1.2 no, off and yes are texts: so are the enums and modes of descriptions.
                    .enable(YAMLParser.Feature.PARSE_BOOLEAN_LIKE_WORDS_AS_STRINGS)
                    .build()
                    .createParser(text);
            parser = yaml;
        } else {
            yaml = null;
            parser = new JsonFactory().createParser(text);
        }
    }

    /** Reads a document; null where it can't be read, of which the faults then tell. */
    static Value read(String file, byte[] bytes, Faults faults, Headroom headroom) {
        if (bytes.length > MAX_FILE) {
            faults.error(
                    Place.file(file),
                    "the file has " + bytes.length + " bytes",
                    "keep it under " + MAX_FILE + ", or split it with $ref");
            return null;
        }
        String text;
        try {
            text = StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(bytes))
                    .toString();
        } catch (CharacterCodingException e) {
            faults.error(Place.file(file), "the file is not UTF-8", "save it as UTF-8");
            return null;
        }
        boolean isYaml = !text.stripLeading().startsWith("{");
        try {
            DocumentReader reader = new DocumentReader(file, faults, headroom, text, isYaml);
            try (JsonParser closed = reader.parser) {
                return reader.document();
            }
        } catch (NoHeadroomException e) {
            throw e;
        } catch (Broken e) {
            faults.error(e.place, e.getMessage(), e.remedy);
        } catch (JsonProcessingException e) {
            JsonLocation at = e.getLocation();
            faults.error(
                    at == null ? Place.file(file) : new Place(file, at.getLineNr(), at.getColumnNr(), ""),
                    "not readable as " + (isYaml ? "YAML" : "JSON") + ": "
                            + e.getOriginalMessage().lines().findFirst().orElse(""),
                    "correct its syntax there");
        } catch (IOException | RuntimeException e) {
            // Danger: the YAML reader tells some broken texts by exceptions of its own.
            faults.error(
                    Place.file(file),
                    "not readable: "
                            + String.valueOf(e.getMessage()).lines().findFirst().orElse(""),
                    "correct its syntax");
        }
        return null;
    }

    private Value document() throws IOException, Broken {
        if (parser.nextToken() == null) {
            throw new Broken(Place.file(file), "the file is empty", "put a description in it");
        }
        Value value = value(0);
        if (parser.nextToken() != null) {
            faults.error(here(), "a second document follows", "keep one document to a file");
        }
        return value;
    }

    private Place here() {
        JsonLocation at = parser.currentTokenLocation();
        return new Place(file, at.getLineNr(), at.getColumnNr(), pointer.toString());
    }

    private Value value(int depth) throws IOException, Broken {
        JsonLocation at = parser.currentTokenLocation();
        int line = at.getLineNr();
        int column = at.getColumnNr();
        int before = count(1);
        if (depth > MAX_DEPTH) {
            throw new Broken(
                    here(),
                    "more than " + MAX_DEPTH + " levels of nesting",
                    "put inner parts beside the others and refer to them with $ref");
        }
        headroom.require(BYTES_PER_VALUE);
        String anchor = null;
        if (yaml != null) {
            if (yaml.isCurrentAlias()) {
                return alias(parser.getText());
            }
            Object id = yaml.getObjectId();
            anchor = id == null ? null : id.toString();
        }
        JsonToken token = parser.currentToken();
        Value value =
                switch (token) {
                    case START_OBJECT -> Value.object(members(depth), line, column);
                    case START_ARRAY -> Value.list(items(depth), line, column);
                    case VALUE_TRUE, VALUE_FALSE -> Value.scalar(Kind.BOOLEAN, token.asString(), line, column);
                    case VALUE_NULL -> Value.scalar(Kind.NULL, null, line, column);
                    case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> number(line, column);
                    default -> Value.scalar(Kind.TEXT, parser.getText(), line, column);
                };
        if (anchor != null) {
            anchors.put(anchor, value);
            sizes.put(anchor, values - before);
        }
        return value;
    }

    private Value number(int line, int column) throws IOException {
        try {
            // YAML also has hexadecimal, octal and grouped numbers, and infinity: the value is taken.
            return Value.scalar(Kind.NUMBER, parser.getDecimalValue().toString(), line, column);
        } catch (NumberFormatException | JsonProcessingException e) {
            return Value.scalar(Kind.TEXT, parser.getText(), line, column);
        }
    }

    private Value alias(String name) throws Broken {
        Value known = anchors.get(name);
        if (known == null) {
            throw new Broken(
                    here(),
                    "alias *" + name + " names no anchor before it, or one that it is part of",
                    "define &" + name + " before its first use, and use $ref for what contains itself");
        }
        count(sizes.get(name));
        return known;
    }

    /** Gives the count as it was before. */
    private int count(int more) throws Broken {
        int before = values;
        values += more;
        if (values > MAX_VALUES) {
            throw new Broken(
                    here(),
                    "the document names more than " + MAX_VALUES + " values, aliases followed",
                    "use $ref in place of aliases of aliases");
        }
        return before;
    }

    private Map<String, Value> members(int depth) throws IOException, Broken {
        Map<String, Value> members = new LinkedHashMap<>();
        int length = pointer.length();
        while (parser.nextToken() != JsonToken.END_OBJECT) {
            String name = parser.currentName();
            pointer.append('/').append(Pointers.escape(name));
            if (members.containsKey(name)) {
                faults.error(here(), "the name '" + name + "' stands here for the second time", "keep one of the two");
            } else if (yaml != null && name.equals("<<")) {
                faults.error(here(), "merge keys (<<) are no part of YAML 1.2", "use allOf or $ref");
            }
            parser.nextToken();
            members.put(name, value(depth + 1));
            pointer.setLength(length);
        }
        return members;
    }

    private List<Value> items(int depth) throws IOException, Broken {
        List<Value> items = new ArrayList<>();
        int length = pointer.length();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
            pointer.append('/').append(items.size());
            items.add(value(depth + 1));
            pointer.setLength(length);
        }
        return items;
    }
}
