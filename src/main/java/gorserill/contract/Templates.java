package gorserill.contract;

import com.google.re2j.Matcher;
import com.google.re2j.Pattern;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Path templates and what stands behind each, as a tree of segments: concrete segments go before templated
 * ones (OpenAPI 3.1.1, 4.8.8.2), those with more concrete text before those with less. A search visits at
 * most the branches that fit, so that its time does not grow with the number of templates.
 *
 * @param <T> what a template leads to
 */
final class Templates<T> {
    private static final class Branch<T> {
        /**
         * The first concrete segment, and the others if there are any. Most branches have one; a table for it
         * would be three more places in memory to look at, which is what a search among many templates costs.
         */
        private String name;

        private Branch<T> first;
        private Map<String, Branch<T>> others = Map.of();
        /** Segments of text and parameters, most concrete text first. */
        private final List<Mixed<T>> mixed = new ArrayList<>();

        private Branch<T> any;
        private T leaf;
        private String template;
        private List<String> names;

        private Branch<T> concrete(String segment) {
            return segment.equals(name) ? first : others.isEmpty() ? null : others.get(segment);
        }

        private Branch<T> addConcrete(String segment) {
            Branch<T> known = concrete(segment);
            if (known != null) {
                return known;
            }
            Branch<T> branch = new Branch<>();
            if (name == null) {
                name = segment;
                first = branch;
            } else {
                others = others.isEmpty() ? new HashMap<>() : others;
                others.put(segment, branch);
            }
            return branch;
        }
    }

    private record Mixed<T>(String form, int concrete, Pattern pattern, Branch<T> branch) {}

    /**
     * What a path fits.
     *
     * @param template as the description has it
     * @param values of its parameters as they stand in the path, still percent-encoded
     */
    record Match<T>(T leaf, String template, Map<String, String> values) {}

    /** A template that can't be taken in. */
    static final class BadTemplate extends Exception {
        private static final long serialVersionUID = 1L;

        BadTemplate(String why) {
            super(why);
        }
    }

    private static final Pattern PARAMETER = Pattern.compile("\\{([^{}/]+)\\}");

    private final Branch<T> root = new Branch<>();

    /** The names of the parameters as they come in a template. */
    static List<String> inOrder(String template) {
        List<String> names = new ArrayList<>();
        Matcher matcher = PARAMETER.matcher(template);
        while (matcher.find()) {
            names.add(matcher.group(1));
        }
        return names;
    }

    /** The names of the parameters, each once. */
    static Set<String> parameters(String template) {
        return new TreeSet<>(inOrder(template));
    }

    /**
     * Takes a template in. Two that differ in their parameters' names alone are the same (OpenAPI 3.1.1,
     * 4.8.8.2).
     *
     * @return what the same template leads to already, and the new leaf is not kept; else null
     * @throws BadTemplate where a path can't have this form
     */
    T add(String template, T leaf) throws BadTemplate {
        Branch<T> at = root;
        List<String> names = new ArrayList<>();
        String[] parts = template.split("/", -1);
        for (int i = 0; i < parts.length; i++) {
            String part = parts[i];
            if (part.isEmpty() && i > 0 && i < parts.length - 1) {
                throw new BadTemplate("has an empty segment");
            }
            Matcher matcher = PARAMETER.matcher(part);
            int before = names.size();
            StringBuilder regex = new StringBuilder();
            StringBuilder form = new StringBuilder();
            int end = 0;
            int concrete = 0;
            while (matcher.find()) {
                if (matcher.start() == end && end > 0) {
                    throw new BadTemplate("has two parameters with nothing between them");
                }
                String text = literal(part.substring(end, matcher.start()));
                concrete += text.length();
                regex.append(Pattern.quote(text)).append("(.+?)");
                form.append(text).append("{}");
                if (names.contains(matcher.group(1))) {
                    throw new BadTemplate("has the parameter {" + matcher.group(1) + "} twice");
                }
                names.add(matcher.group(1));
                end = matcher.end();
            }
            String rest = literal(part.substring(end));
            if (names.size() == before) {
                at = at.addConcrete(rest);
            } else if (form.length() == 2 && rest.isEmpty()) {
                at.any = at.any == null ? new Branch<>() : at.any;
                at = at.any;
            } else {
                at = mixed(at, form + rest, concrete + rest.length(), "^" + regex + Pattern.quote(rest) + "$");
            }
        }
        if (at.leaf != null) {
            return at.leaf;
        }
        at.leaf = leaf;
        at.template = template;
        at.names = List.copyOf(names);
        return null;
    }

    private static String literal(String text) throws BadTemplate {
        if (text.indexOf('{') >= 0 || text.indexOf('}') >= 0) {
            throw new BadTemplate("has a brace without its other half");
        }
        String normal = Segments.normal(encoded(text));
        if (normal == null || normal.equals(".") || normal.equals("..")) {
            throw new BadTemplate("has a dot segment or a percent sign that begins nothing");
        }
        return normal;
    }

    /** What can't stand in a path as it is, such as a letter with an accent, as a client will send it. */
    private static String encoded(String text) {
        StringBuilder out = new StringBuilder();
        for (byte b : text.getBytes(java.nio.charset.StandardCharsets.UTF_8)) {
            if (b > ' ' && b < 0x7f) {
                out.append((char) b);
            } else {
                out.append(String.format("%%%02X", b & 0xff));
            }
        }
        return out.toString();
    }

    private static <T> Branch<T> mixed(Branch<T> at, String form, int concrete, String regex) {
        for (Mixed<T> known : at.mixed) {
            if (known.form.equals(form)) {
                return known.branch;
            }
        }
        Branch<T> branch = new Branch<>();
        at.mixed.add(new Mixed<>(form, concrete, Pattern.compile(regex), branch));
        at.mixed.sort(Comparator.comparingInt((Mixed<T> m) -> -m.concrete).thenComparing(Mixed::form));
        return branch;
    }

    /**
     * What a path fits, or null. Danger: a path with dot segments or empty ones is read in several ways by
     * what stands before and behind the node; it fits nothing that does not spell it out.
     */
    Match<T> find(String rawPath) {
        String[] parts = rawPath.split("/", -1);
        for (int i = 0; i < parts.length; i++) {
            parts[i] = Segments.normal(parts[i]);
            if (parts[i] == null || parts[i].equals(".") || parts[i].equals("..")) {
                return null;
            }
        }
        List<String> values = new ArrayList<>();
        Branch<T> found = find(root, parts, 0, values);
        if (found == null) {
            return null;
        }
        Map<String, String> byName = new LinkedHashMap<>();
        for (int i = 0; i < values.size(); i++) {
            byName.put(found.names.get(i), values.get(i));
        }
        return new Match<>(found.leaf, found.template, byName);
    }

    private static <T> Branch<T> find(Branch<T> at, String[] parts, int next, List<String> values) {
        if (next == parts.length) {
            return at.leaf == null ? null : at;
        }
        Branch<T> concrete = at.concrete(parts[next]);
        Branch<T> found = concrete == null ? null : find(concrete, parts, next + 1, values);
        int mark = values.size();
        for (int i = 0; i < at.mixed.size() && found == null; i++) {
            Matcher matcher = at.mixed.get(i).pattern.matcher(parts[next]);
            if (matcher.matches()) {
                for (int g = 1; g <= matcher.groupCount(); g++) {
                    values.add(matcher.group(g));
                }
                found = find(at.mixed.get(i).branch, parts, next + 1, values);
                if (found == null) {
                    values.subList(mark, values.size()).clear();
                }
            }
        }
        if (found == null && at.any != null && !parts[next].isEmpty()) {
            values.add(parts[next]);
            found = find(at.any, parts, next + 1, values);
            if (found == null) {
                values.remove(mark);
            }
        }
        return found;
    }
}
