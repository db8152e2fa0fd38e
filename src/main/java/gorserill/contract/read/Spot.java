package gorserill.contract.read;

import gorserill.contract.read.Value.Kind;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/** A value of a description with its place; the way to everything below it, references followed. */
public final class Spot {
    private static final Pattern WHOLE = Pattern.compile("[0-9]{1,15}");

    private final Library.Document document;
    private final Value value;
    private final String pointer;

    Spot(Library.Document document, Value value, String pointer) {
        this.document = document;
        this.value = value;
        this.pointer = pointer;
    }

    Library.Document document() {
        return document;
    }

    public Value value() {
        return value;
    }

    /** The file's name and the pointer: the same for the same place, whichever way led there. */
    public String id() {
        return document.name() + "#" + pointer;
    }

    /** The last name of the pointer; a whole document's is its file's, without folder and ending. */
    public String name() {
        if (pointer.isEmpty()) {
            return document.name().replaceFirst(".*/", "").replaceFirst("\\.[A-Za-z]+$", "");
        }
        return Pointers.unescape(pointer.substring(pointer.lastIndexOf('/') + 1));
    }

    public Place place() {
        return new Place(document.name(), value.line(), value.column(), pointer);
    }

    Place placeOf(Value member, String name) {
        return new Place(document.name(), member.line(), member.column(), pointer + "/" + name);
    }

    /** The files of the description that were read so far. */
    public SourceFiles sourceFiles() {
        return document.library().sourceFiles();
    }

    /** Bounds the memory that reading the description takes. */
    public Headroom headroom() {
        return document.library().headroom();
    }

    public Faults faults() {
        return document.library().faults();
    }

    public void error(String what, String remedy) {
        faults().error(place(), what, remedy);
    }

    public void warning(String what, String remedy) {
        faults().warning(place(), what, remedy);
    }

    public boolean is(Kind kind) {
        return value.is(kind);
    }

    /** A member as it stands, no reference followed; null where there is none. */
    public Spot raw(String name) {
        Value member = value.get(name);
        return member == null ? null : new Spot(document, member, pointer + "/" + Pointers.escape(name));
    }

    /** A member, references followed; null where there is none, or none that can be followed. */
    public Spot get(String name) {
        Spot raw = raw(name);
        return raw == null ? null : raw.followed();
    }

    /** A member by a path of names. */
    public Spot get(String first, String... more) {
        Spot at = get(first);
        for (int i = 0; i < more.length && at != null; i++) {
            at = at.get(more[i]);
        }
        return at;
    }

    /** What this is in the end: itself, or what its {@code $ref} leads to; null where that is nothing. */
    public Spot followed() {
        Spot at = this;
        Set<String> seen = new HashSet<>();
        for (Value ref = at.reference(); ref != null; ref = at.reference()) {
            if (!seen.add(at.id())) {
                error("this $ref leads back to itself", "let one of the references end at a definition");
                return null;
            }
            at = document.library().follow(at, ref);
            if (at == null) {
                return null;
            }
        }
        return at;
    }

    /** What its {@code $ref} names, one step; null where it is no reference or names nothing. */
    public Spot target() {
        Value ref = reference();
        return ref == null ? null : document.library().follow(this, ref);
    }

    private Value reference() {
        Value ref = value.get("$ref");
        return ref != null && ref.is(Kind.TEXT) ? ref : null;
    }

    /** The members with a value that can be used, references followed, in the document's order. */
    public Map<String, Spot> members() {
        Map<String, Spot> members = new LinkedHashMap<>();
        for (String name : value.members().keySet()) {
            Spot member = get(name);
            if (member != null) {
                members.put(name, member);
            }
        }
        return members;
    }

    /** The members of a member that must be an object, if it is there. */
    public Map<String, Spot> membersOf(String name) {
        Spot member = get(name);
        if (member == null || !member.must(Kind.OBJECT)) {
            return Map.of();
        }
        return member.members();
    }

    /** The items, no reference followed. */
    public List<Spot> rawItems() {
        List<Spot> items = new ArrayList<>();
        for (int i = 0; i < value.items().size(); i++) {
            items.add(new Spot(document, value.items().get(i), pointer + "/" + i));
        }
        return items;
    }

    /** The items of a member that must be a list, if it is there; references followed. */
    public List<Spot> itemsOf(String name) {
        Spot member = get(name);
        List<Spot> items = new ArrayList<>();
        if (member != null && member.must(Kind.LIST)) {
            for (Spot item : member.rawItems()) {
                Spot followed = item.followed();
                if (followed != null) {
                    items.add(followed);
                }
            }
        }
        return items;
    }

    /** Whether it is of that kind; if not, that is a fault. */
    public boolean must(Kind kind) {
        if (!value.is(kind)) {
            error("this must be " + word(kind) + ", not " + word(value.kind()), "write " + word(kind));
        }
        return value.is(kind);
    }

    private static String word(Kind kind) {
        return switch (kind) {
            case OBJECT -> "an object";
            case LIST -> "a list";
            case TEXT -> "a text";
            case NUMBER -> "a number";
            case BOOLEAN -> "true or false";
            case NULL -> "null";
        };
    }

    /** A member that must be a text, if it is there; else null. */
    public String text(String name) {
        Spot member = raw(name);
        return member == null || !member.must(Kind.TEXT) ? null : member.value.text();
    }

    /** A member that must be a text and be there; null where it is not, which is a fault. */
    public String needed(String name, String remedy) {
        if (value.get(name) == null) {
            error("'" + name + "' is missing", remedy);
            return null;
        }
        return text(name);
    }

    /** A member that must be true or false, if it is there. */
    public boolean flag(String name, boolean otherwise) {
        Spot member = raw(name);
        return member == null || !member.must(Kind.BOOLEAN)
                ? otherwise
                : member.value.text().equals("true");
    }

    /** A member that must be a whole number above 0, if it is there; else -1. */
    public long whole(String name) {
        Spot member = raw(name);
        if (member == null || !member.must(Kind.NUMBER)) {
            return -1;
        }
        String text = member.value.text();
        if (!WHOLE.matcher(text).matches() || Long.parseLong(text) == 0) {
            member.error("'" + text + "' is no whole number above 0", "write one");
            return -1;
        }
        return Long.parseLong(text);
    }

    @Override
    public String toString() {
        return place().toString();
    }
}
