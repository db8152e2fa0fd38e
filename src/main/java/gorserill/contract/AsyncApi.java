package gorserill.contract;

import gorserill.contract.Operation.Message;
import gorserill.contract.Parameter.In;
import gorserill.contract.Parameter.Style;
import gorserill.contract.Templates.BadTemplate;
import gorserill.contract.read.Spot;
import gorserill.contract.read.Value.Kind;
import gorserill.contract.schema.Check;
import gorserill.contract.schema.Dialect;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads an AsyncAPI description, 2.6 or 3.0. An operation by which the described application takes messages
 * submits jobs: {@code publish} in 2.6, which speaks for the client, {@code receive} in 3.0, which speaks for
 * the application. The other direction, to workers, binds nobody.
 */
final class AsyncApi extends Description {
    private static final List<String> SCHEMA_FORMATS = List.of(
            "application/vnd.aai.asyncapi",
            "application/schema+json",
            "application/schema+yaml",
            "application/vnd.oai.openapi");

    private boolean old;

    AsyncApi(Spot root, Map<String, JobRule> rules) {
        super(root, rules);
    }

    Contract read() {
        return read(Contract.Kind.ASYNCAPI, "asyncapi", "(2\\.[0-6]|3\\.0)\\.[0-9]+.*", "write it for 2.6 or 3.0");
    }

    @Override
    void gather() {
        old = root.text("asyncapi").startsWith("2");
        if (root.raw("channels") == null) {
            root.error("'channels' is missing", "describe the queues under channels");
        } else if (old) {
            root.membersOf("channels").forEach(this::channel2);
        } else {
            channels3();
        }
    }

    private void channel2(String address, Spot channel) {
        if (!channel.must(Kind.OBJECT)) {
            return;
        }
        Learner.spelling(channel);
        Spot publish = channel.get("publish");
        if (publish != null && publish.must(Kind.OBJECT)) {
            Spot message = publish.get("message");
            List<Spot> messages = message == null
                    ? List.of()
                    : message.raw("oneOf") == null ? List.of(message) : message.itemsOf("oneOf");
            // In 2.6 a trait is a merge patch (RFC 7396) on the operation, so that it goes first; the last,
            // firstmost.
            List<Spot> spots = new ArrayList<>(publish.itemsOf("traits"));
            Collections.reverse(spots);
            spots.add(publish);
            take(address, publish.text("operationId"), publish, channel, spots, messages);
        }
    }

    private void channels3() {
        Map<String, Spot> channels = root.membersOf("channels");
        Map<String, Spot> byPlace = new HashMap<>();
        channels.values().forEach(channel -> {
            channel.must(Kind.OBJECT);
            Learner.spelling(channel);
            byPlace.put(channel.id(), channel);
        });
        for (Map.Entry<String, Spot> entry : root.membersOf("operations").entrySet()) {
            Spot operation = entry.getValue();
            if (!operation.must(Kind.OBJECT)) {
                continue;
            }
            String action = operation.needed("action", "say send or receive");
            Spot channel = operation.get("channel");
            if (action != null && !action.equals("send") && !action.equals("receive")) {
                operation.raw("action").error("'" + action + "' is no action", "say send or receive");
            } else if (operation.raw("channel") == null) {
                operation.error("'channel' is missing", "refer to one of the channels");
            } else if (channel != null && !byPlace.containsKey(channel.id())) {
                operation
                        .raw("channel")
                        .error(
                                "'" + channel.id() + "' is no channel of this description",
                                "refer to one under #/channels");
            } else if (channel != null && "receive".equals(action)) {
                // In 3.0 what the operation says goes before its traits.
                List<Spot> spots = new ArrayList<>();
                spots.add(operation);
                List<Spot> traits = operation.itemsOf("traits");
                Collections.reverse(traits);
                spots.addAll(traits);
                List<Spot> messages = operation.raw("messages") != null
                        ? operation.itemsOf("messages")
                        : new ArrayList<>(channel.membersOf("messages").values());
                Spot address = channel.raw("address");
                if (address == null || !address.is(Kind.TEXT)) {
                    (address == null ? channel : address)
                            .error("'address' is missing, so no queue is meant", "write the queue's name");
                } else {
                    take(address.value().text(), entry.getKey(), operation, channel, spots, messages);
                }
            }
        }
    }

    private void take(String address, String name, Spot spot, Spot channel, List<Spot> spots, List<Spot> messages) {
        String id = name == null ? "publish " + address : name;
        if (ids.putIfAbsent(id, spot) != null) {
            spot.error("the operation '" + id + "' is also " + ids.get(id).id(), "give each its own name");
        }
        spots.forEach(Learner::spelling);
        List<Spot> all = new ArrayList<>(spots);
        all.add(channel);
        List<Message> taken = new ArrayList<>();
        for (Spot message : messages) {
            if (message.must(Kind.OBJECT)) {
                taken.add(message(message));
                all.addAll(messages.size() == 1 ? layers(message) : List.of());
            }
        }
        Operation operation = new Operation(
                id,
                null,
                address,
                spot.id(),
                learner.learn(all, null, null),
                parameters(address, channel),
                null,
                false,
                List.copyOf(taken),
                Map.of());
        operations.add(operation);
        try {
            Map<String, Operation> other = templates.add(address, Map.of("", operation));
            if (other != null) {
                spot.error(
                        "messages to '" + address + "' are also taken by "
                                + other.get("").place(),
                        "describe one operation with all messages that the queue takes");
            }
        } catch (BadTemplate e) {
            channel.error("the address '" + address + "' " + e.getMessage(), "correct the address");
        }
    }

    private List<Parameter> parameters(String address, Spot channel) {
        List<Parameter> parameters = new ArrayList<>();
        Map<String, Spot> described = channel.membersOf("parameters");
        for (String name : Templates.parameters(address)) {
            Spot at = described.get(name);
            if (at == null) {
                channel.error("{" + name + "} in the address is not described", "add it to the channel's parameters");
                continue;
            }
            // In 2.6 a parameter has a schema, in 3.0 an enum of its own.
            Spot schema = at.raw("schema") != null ? at.raw("schema") : at;
            parameters.add(new Parameter(
                    name,
                    In.PATH,
                    true,
                    Style.SIMPLE,
                    false,
                    false,
                    false,
                    schema.is(Kind.OBJECT) ? schemas.check(schema, Dialect.ASYNCAPI, false) : null));
        }
        for (String name : described.keySet()) {
            if (!Templates.parameters(address).contains(name)) {
                described
                        .get(name)
                        .error(
                                "parameter '" + name + "' is not in the address " + address,
                                "write it there in braces, or leave it out");
            }
        }
        return List.copyOf(parameters);
    }

    // ---- messages ----

    /** A message and its traits, what goes first first. */
    private List<Spot> layers(Spot message) {
        List<Spot> layers = new ArrayList<>(message.itemsOf("traits"));
        Collections.reverse(layers);
        layers.add(old ? layers.size() : 0, message);
        return layers;
    }

    private Message message(Spot message) {
        List<Spot> layers = layers(message);
        layers.forEach(Learner::spelling);
        List<Check> headers = new ArrayList<>();
        Expression correlation = null;
        String name = null;
        String type = root.text("defaultContentType");
        boolean typed = false;
        for (Spot layer : layers) {
            if (layer.raw("headers") != null) {
                Check check = schema(layer.raw("headers"), null);
                if (check != null) {
                    headers.add(check);
                }
            }
            Spot correlates = layer.get("correlationId");
            if (correlates != null && correlation == null) {
                correlation = correlation(correlates);
            }
            name = name == null ? layer.text("name") : name;
            if (!typed && layer.raw("contentType") != null) {
                type = layer.text("contentType");
                typed = true;
            }
        }
        Check payload =
                message.raw("payload") == null ? null : schema(message.raw("payload"), message.text("schemaFormat"));
        MediaType media = type == null ? null : MediaType.parse(type);
        if (type != null && (media == null || !media.json()) && payload != null) {
            message.warning(
                    "payloads of " + type + " are not read, so the schema is not checked",
                    "use application/json, which jobs of Faktory are");
            payload = null;
        }
        return new Message(name == null ? message.name() : name, List.copyOf(headers), payload, correlation);
    }

    private static Expression correlation(Spot correlates) {
        String location = correlates.needed("location", "say where it stands, as $message.header#/NAME");
        Expression expression = null;
        try {
            expression = location == null ? null : Expression.parse(location);
        } catch (IllegalArgumentException e) {
            // Told below.
        }
        if (location != null && (expression == null || expression.ofHttp())) {
            correlates
                    .raw("location")
                    .error(
                            "'" + location + "' says nowhere in a message",
                            "write $message.header#/POINTER or $message.payload#/POINTER");
        }
        return expression;
    }

    /** A schema, also one that says in which format it is (AsyncAPI 3.0.0, Multi Format Schema Object). */
    private Check schema(Spot raw, String told) {
        Spot spot = raw;
        String format = told;
        Spot followed = raw.followed();
        if (!old && followed != null && followed.raw("schemaFormat") != null && followed.raw("schema") != null) {
            format = followed.text("schemaFormat");
            spot = followed.raw("schema");
        }
        if (format != null && SCHEMA_FORMATS.stream().noneMatch(format::startsWith)) {
            spot.warning(
                    "schemas of the format " + format + " are not read, so nothing is checked by this one",
                    "write it as a JSON Schema");
            return null;
        }
        return schemas.check(
                spot,
                format != null && format.startsWith("application/vnd.oai.openapi")
                        ? Dialect.OPENAPI_30
                        : Dialect.ASYNCAPI,
                false);
    }
}
