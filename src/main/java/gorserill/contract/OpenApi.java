package gorserill.contract;

import gorserill.contract.Parameter.In;
import gorserill.contract.Parameter.Style;
import gorserill.contract.Templates.BadTemplate;
import gorserill.contract.read.Spot;
import gorserill.contract.read.Value.Kind;
import gorserill.contract.schema.Check;
import gorserill.contract.schema.Dialect;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Reads an OpenAPI description, 3.0 or 3.1. */
final class OpenApi extends Description {
    private static final Set<String> METHODS =
            Set.of("get", "put", "post", "delete", "options", "head", "patch", "trace");
    /** Parameters of these names are not read as such (OpenAPI 3.1.1, 4.8.12.2.1). */
    private static final Set<String> IGNORED_HEADERS = Set.of("accept", "content-type", "authorization");

    private static final int MAX_BASES = 32;

    private Dialect dialect = Dialect.OPENAPI_31;

    OpenApi(Spot root, Map<String, JobRule> rules) {
        super(root, rules);
    }

    Contract read() {
        return read(Contract.Kind.OPENAPI, "openapi", "3\\.[01]\\.[0-9]+.*", "write it for 3.0 or 3.1");
    }

    @Override
    void gather() {
        dialect = root.text("openapi").startsWith("3.0") ? Dialect.OPENAPI_30 : Dialect.OPENAPI_31;
        if (root.raw("paths") == null
                && (dialect == Dialect.OPENAPI_30 || root.raw("components") == null && root.raw("webhooks") == null)) {
            root.error("'paths' is missing", "describe the operations under paths");
        }
        List<String> bases = bases(root);
        for (Map.Entry<String, Spot> path : root.membersOf("paths").entrySet()) {
            if (!path.getKey().startsWith("x-")) {
                path(path.getKey(), path.getValue(), bases);
            }
        }
    }

    // ---- paths ----

    private void path(String template, Spot item, List<String> outer) {
        if (!item.must(Kind.OBJECT)) {
            return;
        }
        if (!template.startsWith("/")) {
            item.error("the path '" + template + "' must begin with a slash", "write /" + template);
            return;
        }
        Learner.spelling(item);
        List<String> bases = item.raw("servers") == null ? outer : bases(item);
        Map<String, Spot> shared = parameters(item);
        Map<String, Map<String, Operation>> byBase = new LinkedHashMap<>();
        for (Map.Entry<String, Spot> member : item.members().entrySet()) {
            if (METHODS.contains(member.getKey()) && member.getValue().must(Kind.OBJECT)) {
                Spot spot = member.getValue();
                Operation operation = operation(template, member.getKey(), spot, item, shared);
                operations.add(operation);
                for (String base : spot.raw("servers") == null ? bases : bases(spot)) {
                    byBase.computeIfAbsent(base, b -> new LinkedHashMap<>()).put(operation.method(), operation);
                }
            }
        }
        byBase.forEach((base, methods) -> take(base + template, Map.copyOf(methods), item));
    }

    private void take(String full, Map<String, Operation> methods, Spot item) {
        try {
            Map<String, Operation> other = templates.add(full, methods);
            if (other != null) {
                item.error(
                        "the path '" + full + "' is the same as that of "
                                + other.values().iterator().next().place() + " but for names of parameters",
                        "keep one of the two");
            }
        } catch (BadTemplate e) {
            item.error("the path '" + full + "' " + e.getMessage(), "correct the path");
        }
    }

    /** The paths of the servers, without the slash at their end (OpenAPI 3.1.1, 4.8.5). */
    private static List<String> bases(Spot of) {
        Set<String> bases = new LinkedHashSet<>();
        for (Spot server : of.itemsOf("servers")) {
            String url = server.needed("url", "give the server's url");
            if (url == null) {
                continue;
            }
            List<String> urls = List.of(url);
            for (Map.Entry<String, Spot> variable :
                    server.membersOf("variables").entrySet()) {
                urls = fill(urls, variable.getKey(), variable.getValue());
            }
            for (String one : urls) {
                if (one.contains("{")) {
                    server.error(
                            "the url '" + one + "' has a variable that is not described",
                            "describe it under variables, with a default");
                } else {
                    bases.add(one.replaceFirst("^[A-Za-z][A-Za-z0-9+.-]*:", "")
                            .replaceFirst("^//[^/]*", "")
                            .replaceFirst("/+$", ""));
                }
            }
        }
        if (bases.size() > MAX_BASES) {
            of.error("the servers have " + bases.size() + " paths", "keep to " + MAX_BASES);
        }
        return bases.isEmpty() ? List.of("") : List.copyOf(bases);
    }

    private static List<String> fill(List<String> urls, String name, Spot variable) {
        Set<String> values = new LinkedHashSet<>();
        String otherwise = variable.needed("default", "give the variable's default");
        for (Spot value : variable.itemsOf("enum")) {
            if (value.must(Kind.TEXT)) {
                values.add(value.value().text());
            }
        }
        if (otherwise != null) {
            values.add(otherwise);
        }
        List<String> filled = new ArrayList<>();
        for (String url : urls) {
            for (String value : values) {
                if (filled.size() <= MAX_BASES) {
                    filled.add(url.replace("{" + name + "}", value));
                }
            }
        }
        return filled;
    }

    // ---- one operation ----

    private Operation operation(String template, String method, Spot spot, Spot item, Map<String, Spot> shared) {
        Learner.spelling(spot);
        String id = spot.text("operationId");
        if (id != null && ids.putIfAbsent(id, spot) != null) {
            spot.raw("operationId")
                    .error("'" + id + "' is also that of " + ids.get(id).id(), "give each operation its own");
        }
        String upper = method.toUpperCase(Locale.ROOT);
        Map<String, Spot> all = new LinkedHashMap<>(shared);
        all.putAll(parameters(spot));
        List<Parameter> parameters = new ArrayList<>();
        String requiredKey = null;
        for (Spot at : all.values()) {
            Parameter parameter = parameter(at);
            if (parameter != null) {
                parameters.add(parameter);
                if (parameter.in() == In.HEADER
                        && parameter.required()
                        && parameter.name().equalsIgnoreCase("Idempotency-Key")) {
                    requiredKey = at.id();
                }
            }
        }
        pathParameters(template, parameters, spot);
        Spot body = spot.get("requestBody");
        return new Operation(
                id == null ? upper + " " + template : id,
                upper,
                template,
                spot.id(),
                learner.learn(List.of(spot, item), upper, requiredKey),
                List.copyOf(parameters),
                body == null ? null : content(body, false, true),
                body != null && body.flag("required", false),
                List.of(),
                answers(spot));
    }

    private static void pathParameters(String template, List<Parameter> parameters, Spot spot) {
        Set<String> named = new LinkedHashSet<>(Templates.parameters(template));
        for (Parameter parameter : parameters) {
            if (parameter.in() == In.PATH && !named.remove(parameter.name())) {
                spot.error(
                        "path parameter '" + parameter.name() + "' is not in the path " + template,
                        "write it there in braces, or leave the parameter out");
            }
        }
        for (String name : named) {
            spot.error(
                    "{" + name + "} in the path is not described",
                    "add a parameter '" + name + "' with in: path and required: true");
        }
    }

    /** The parameters of a path item or an operation, by place and name. */
    private static Map<String, Spot> parameters(Spot of) {
        Map<String, Spot> found = new LinkedHashMap<>();
        for (Spot parameter : of.itemsOf("parameters")) {
            if (parameter.must(Kind.OBJECT)) {
                String name = parameter.needed("name", "name the parameter");
                String in = parameter.needed("in", "say path, query, header or cookie");
                if (name != null
                        && in != null
                        && found.put(in + " " + (in.equals("header") ? name.toLowerCase(Locale.ROOT) : name), parameter)
                                != null) {
                    parameter.error(in + " parameter '" + name + "' is described twice", "keep one of the two");
                }
            }
        }
        return found;
    }

    private Parameter parameter(Spot spot) {
        String name = spot.text("name");
        String where = spot.text("in");
        In in = null;
        for (In one : In.values()) {
            in = one.name().toLowerCase(Locale.ROOT).equals(where) ? one : in;
        }
        if (in == null) {
            spot.error("'" + where + "' is no place of a parameter", "say path, query, header or cookie");
            return null;
        }
        if (in == In.HEADER && IGNORED_HEADERS.contains(name.toLowerCase(Locale.ROOT))) {
            spot.warning(
                    "a parameter named " + name + " is not read (OpenAPI 3.1.1, 4.8.12.2.1)",
                    "describe it by media types or security");
            return null;
        }
        boolean required = spot.flag("required", false);
        if (in == In.PATH && !required) {
            spot.error("a path parameter must have required: true", "add it");
        }
        Style style = style(spot, in);
        boolean explode = spot.flag("explode", style == Style.FORM);
        Spot schema = spot.get("schema");
        Map<String, Spot> content = spot.membersOf("content");
        if (schema != null && !content.isEmpty()) {
            spot.error("the parameter has both schema and content", "keep one of the two");
        } else if (schema == null && content.isEmpty()) {
            spot.error("the parameter has neither schema nor content", "add a schema");
        }
        boolean json = false;
        Check check = null;
        if (!content.isEmpty()) {
            if (content.size() > 1) {
                spot.error("content of a parameter must name one media type", "keep one");
            }
            Map.Entry<String, Spot> only = content.entrySet().iterator().next();
            MediaType type = MediaType.parse(only.getKey());
            json = type != null && type.json();
            Spot its = only.getValue().raw("schema");
            check = its == null ? null : schemas.check(its, dialect, false);
        } else if (schema != null) {
            check = schemas.check(spot.raw("schema"), dialect, false);
        }
        return new Parameter(name, in, required, style, explode, spot.flag("allowEmptyValue", false), json, check);
    }

    private static Style style(Spot spot, In in) {
        String word = spot.text("style");
        if (word == null) {
            return in == In.QUERY || in == In.COOKIE ? Style.FORM : Style.SIMPLE;
        }
        Style style =
                switch (word) {
                    case "simple" -> Style.SIMPLE;
                    case "label" -> Style.LABEL;
                    case "matrix" -> Style.MATRIX;
                    case "form" -> Style.FORM;
                    case "spaceDelimited" -> Style.SPACE_DELIMITED;
                    case "pipeDelimited" -> Style.PIPE_DELIMITED;
                    case "deepObject" -> Style.DEEP_OBJECT;
                    default -> null;
                };
        boolean fits = style != null
                && switch (in) {
                    case PATH -> style == Style.SIMPLE || style == Style.LABEL || style == Style.MATRIX;
                    case HEADER -> style == Style.SIMPLE;
                    case COOKIE -> style == Style.FORM;
                    case QUERY -> style.compareTo(Style.FORM) >= 0;
                };
        if (!fits) {
            spot.raw("style")
                    .error(
                            "style '" + word + "' is none of a parameter in "
                                    + in.name().toLowerCase(Locale.ROOT),
                            "see OpenAPI 3.1.1, 4.8.12.3");
            return Style.SIMPLE;
        }
        return style;
    }

    private Content content(Spot holder, boolean answer, boolean needed) {
        Map<MediaType, Check> types = new LinkedHashMap<>();
        if (needed && holder.raw("content") == null) {
            holder.error("'content' is missing", "name the media types of the body");
        }
        for (Map.Entry<String, Spot> media : holder.membersOf("content").entrySet()) {
            MediaType type = MediaType.parse(media.getKey());
            if (type == null) {
                media.getValue().error("'" + media.getKey() + "' is no media type", "write type/subtype");
                continue;
            }
            Spot schema = media.getValue().raw("schema");
            types.put(type, schema == null ? null : schemas.check(schema, dialect, answer));
            if (schema != null && !type.json() && !type.form() && !type.plain()) {
                schema.warning(
                        "bodies of " + type + " are not read, so this schema is not checked",
                        "describe the body as JSON where it must be");
            }
        }
        return new Content(types);
    }

    private Map<String, Content> answers(Spot spot) {
        Map<String, Content> answers = new LinkedHashMap<>();
        if (spot.raw("responses") == null && dialect == Dialect.OPENAPI_30) {
            spot.error("'responses' is missing", "describe at least the answer of a request that went well");
        }
        for (Map.Entry<String, Spot> answer : spot.membersOf("responses").entrySet()) {
            String status = answer.getKey().toUpperCase(Locale.ROOT);
            if (status.startsWith("X-")) {
                continue;
            }
            if (!status.matches("[1-5]([0-9][0-9]|XX)|DEFAULT")) {
                answer.getValue()
                        .error("'" + answer.getKey() + "' is no status", "write a status such as 200, 2XX or default");
            } else if (answer.getValue().must(Kind.OBJECT)) {
                answers.put(status.equals("DEFAULT") ? "default" : status, content(answer.getValue(), true, false));
            }
        }
        return answers;
    }
}
