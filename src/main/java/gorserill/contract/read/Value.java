package gorserill.contract.read;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.math.BigDecimal;
import java.math.BigInteger;
import java.util.List;
import java.util.Map;

/** A value of a JSON or YAML document that knows where it stands. It never changes once it is read. */
public final class Value {
    /** The kinds of JSON (RFC 8259, section 3). */
    public enum Kind {
        OBJECT,
        LIST,
        TEXT,
        NUMBER,
        BOOLEAN,
        NULL
    }

    private final Kind kind;
    private final int line;
    private final int column;
    private final String text;
    private final Map<String, Value> members;
    private final List<Value> items;

    private Value(Kind kind, int line, int column, String text, Map<String, Value> members, List<Value> items) {
        this.kind = kind;
        this.line = line;
        this.column = column;
        this.text = text;
        this.members = members;
        this.items = items;
    }

    static Value scalar(Kind kind, String text, int line, int column) {
        return new Value(kind, line, column, text, Map.of(), List.of());
    }

    static Value object(Map<String, Value> members, int line, int column) {
        return new Value(Kind.OBJECT, line, column, null, members, List.of());
    }

    static Value list(List<Value> items, int line, int column) {
        return new Value(Kind.LIST, line, column, null, Map.of(), items);
    }

    public Kind kind() {
        return kind;
    }

    public boolean is(Kind one) {
        return kind == one;
    }

    public int line() {
        return line;
    }

    public int column() {
        return column;
    }

    /** Of a text, number or boolean as it stands in the document; null for other kinds. */
    public String text() {
        return text;
    }

    /** In the document's order; empty for anything but an object. */
    public Map<String, Value> members() {
        return members;
    }

    /** Empty for anything but a list. */
    public List<Value> items() {
        return items;
    }

    /** A member, or null. */
    public Value get(String name) {
        return members.get(name);
    }

    /** The smallest node that holds the number, as the parser of values makes them. */
    private static JsonNode wholeNumber(BigInteger number) {
        if (number.bitLength() < Integer.SIZE) {
            return JsonNodeFactory.instance.numberNode(number.intValue());
        } else if (number.bitLength() < Long.SIZE) {
            return JsonNodeFactory.instance.numberNode(number.longValue());
        }
        return JsonNodeFactory.instance.numberNode(number);
    }

    /** The same without places. */
    public JsonNode toJson() {
        JsonNodeFactory make = JsonNodeFactory.instance;
        switch (kind) {
            case OBJECT -> {
                ObjectNode object = make.objectNode();
                members.forEach((name, value) -> object.set(name, value.toJson()));
                return object;
            }
            case LIST -> {
                ArrayNode list = make.arrayNode();
                items.forEach(item -> list.add(item.toJson()));
                return list;
            }
            case NUMBER -> {
                BigDecimal number = new BigDecimal(text);
                return number.scale() <= 0 && number.precision() - number.scale() < 400
                        ? wholeNumber(number.toBigIntegerExact())
                        : make.numberNode(number.doubleValue());
            }
            case BOOLEAN -> {
                return make.booleanNode(text.equals("true"));
            }
            case NULL -> {
                return make.nullNode();
            }
            default -> {
                return make.textNode(text);
            }
        }
    }
}
