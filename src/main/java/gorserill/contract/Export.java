package gorserill.contract;

import barrowflow.Dispatcher.Effect;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.Collection;

/**
 * The descriptions of a node's own fronts, made from the classes of its settings. A node that is bound by
 * them takes what it takes without any.
 */
public final class Export {
    private static final int MAX_BODY = 65_536;
    private static final String WHOSE =
            "Whose job it is; without it, or unknown, it takes only what the settings' tenants leave over.";
    private static final long MAX_REMAINING = Integer.MAX_VALUE;
    private static final long MAX_ESTIMATE = 999_999_999_999L;
    private static final String KEY_HEADER = "Idempotency-Key";

    private Export() {}

    private static ObjectNode document(String word, String version, String title, String description) {
        ObjectNode document = JsonNodeFactory.instance.objectNode();
        document.put(word, version);
        document.putObject("info").put("title", title).put("version", "1.0.0").put("description", description);
        return document;
    }

    // ---- OpenAPI ----

    /** The platform's front, as OpenAPI 3.1. */
    public static ObjectNode openApi(Collection<JobRule> classes) {
        ObjectNode document = document(
                "openapi",
                "3.1.0",
                "gorserill, the platform's front",
                "A client submits a job by POST and waits for its one final answer. Made by gorserill contract "
                        + "export.");
        ObjectNode paths = document.putObject("paths");
        for (JobRule rule : classes) {
            paths.putObject("/"
                            + URLEncoder.encode(rule.name(), StandardCharsets.UTF_8)
                                    .replace("+", "%20"))
                    .set("post", submit(rule));
        }
        ObjectNode health = paths.putObject("/healthz").putObject("get");
        health.put("operationId", "health").put("summary", "Whether the node is ready for clients.");
        health.putObject("responses").set("200", described("ready"));
        health.withObjectProperty("responses").set("503", described("not ready, or draining"));
        ObjectNode components = document.putObject("components");
        parameters(components.putObject("parameters"));
        answers(components.putObject("responses"));
        return document;
    }

    private static ObjectNode described(String what) {
        return JsonNodeFactory.instance.objectNode().put("description", what);
    }

    private static ObjectNode submit(JobRule rule) {
        ObjectNode post = JsonNodeFactory.instance.objectNode();
        post.put("operationId", "submit-" + rule.name()).put("summary", summary(rule));
        post.put("x-gorserill-class", rule.name()).put("x-gorserill-effect", Effects.word(rule.effect()));
        ArrayNode parameters = post.putArray("parameters");
        parameters
                .addObject()
                .put("name", "X-Lane")
                .put("in", "header")
                .put("description", "The class; where given, it must be the operation's.")
                .putObject("schema")
                .put("const", rule.name());
        for (String name : new String[] {
            "Txn",
            "RemainingMs",
            "Org",
            "Estimate",
            "Labels",
            "Entity",
            "Resent",
            rule.effect() == Effect.KEYED ? "RequiredKey" : "Key"
        }) {
            parameters.addObject().put("$ref", "#/components/parameters/" + name);
        }
        post.putObject("requestBody")
                .put("description", "At most " + MAX_BODY + " bytes, passed on unread.")
                .putObject("content")
                .putObject("*/*");
        ObjectNode responses = post.putObject("responses");
        responses.putObject("200").put("$ref", "#/components/responses/Served");
        for (String status : new String[] {"400", "408", "409", "413", "422"}) {
            responses.putObject(status).put("$ref", "#/components/responses/TurnedAway");
        }
        responses.putObject("500").put("$ref", "#/components/responses/Failed");
        responses.putObject("503").put("$ref", "#/components/responses/Refused");
        return post;
    }

    private static String summary(JobRule rule) {
        String repeats =
                switch (rule.effect()) {
                    case SAFE -> "may run again";
                    case KEYED -> "repeats are dropped by its key";
                    case UNSAFE -> "never runs twice";
                };
        return "A job of class " + rule.name() + ": " + repeats + ".";
    }

    private static ObjectNode header(
            ObjectNode parameters, String key, String name, boolean required, String description) {
        return parameters
                .putObject(key)
                .put("name", name)
                .put("in", "header")
                .put("required", required)
                .put("description", description)
                .putObject("schema");
    }

    private static void parameters(ObjectNode parameters) {
        header(parameters, "Txn", "X-Txn", true, "The request's id, new for every request, a retry included.")
                .put("type", "string")
                .put("minLength", 1)
                .put("maxLength", 128);
        header(
                        parameters,
                        "RemainingMs",
                        "X-Remaining-Ms",
                        false,
                        "How long the client waits; the class's limit where not given.")
                .put("type", "integer")
                .put("minimum", 1)
                .put("maximum", MAX_REMAINING);
        header(parameters, "Org", "X-Org", false, WHOSE).put("type", "string");
        header(parameters, "Estimate", "X-Estimate", false, "A guess at the work, in microseconds.")
                .put("type", "integer")
                .put("minimum", 0)
                .put("maximum", MAX_ESTIMATE);
        header(parameters, "Labels", "X-Labels", false, "Further figures as name=value, such as slots=2.")
                .put("type", "string");
        header(parameters, "Entity", "X-Entity", false, "What the job is about.")
                .put("type", "string");
        header(parameters, "Resent", "X-Resent", false, "1 for a retry.").put("type", "string");
        header(parameters, "RequiredKey", KEY_HEADER, true, "What workers tell repeats by.")
                .put("type", "string")
                .put("minLength", 1)
                .put("maxLength", 128);
        header(parameters, "Key", KEY_HEADER, false, "Passed on unchanged.").put("type", "string");
    }

    private static void answers(ObjectNode responses) {
        responses.set("Served", described("What a worker gave for this request."));
        responses.withObjectProperty("Served").putObject("content").putObject("*/*");
        responses.set("Refused", described("Not run; trying again is harmless."));
        responses
                .withObjectProperty("Refused")
                .putObject("headers")
                .putObject("Retry-After")
                .put("required", true)
                .put("description", "Seconds, whole or decimal.")
                .putObject("schema")
                .put("type", "number");
        responses.set("Failed", described("Not done as far as is known, but it may have run."));
        responses.set(
                "TurnedAway",
                described("The request can't be read or used, or is not as described (408: it was"
                        + " not whole in time; 409: its id is that of an open request); the body says why."));
    }

    // ---- AsyncAPI ----

    /** The Faktory front, as AsyncAPI 3.0. */
    public static ObjectNode asyncApi(Collection<JobRule> classes) {
        ObjectNode document = document(
                "asyncapi",
                "3.0.0",
                "gorserill, the Faktory front",
                "The Faktory work protocol, version 2. A channel is a queue, a payload a whole job, a message's "
                        + "headers are"
                        + " the job's custom. A PUSH is answered when the job's fate is known. Made by gorserill "
                        + "contract"
                        + " export.");
        document.putObject("servers")
                .putObject("node")
                .put("host", "127.0.0.1:7419")
                .put("protocol", "faktory")
                .put("protocolVersion", "2")
                .put("description", "The address is that of faktory.json.")
                .putArray("security")
                .addObject()
                .put("$ref", "#/components/securitySchemes/password");
        ObjectNode channels = document.putObject("channels");
        ObjectNode operations = document.putObject("operations");
        for (JobRule rule : classes) {
            String message = rule.effect() == Effect.KEYED ? "KeyedJob" : "Job";
            ObjectNode channel = channels.putObject(rule.name())
                    .put("address", rule.name())
                    .put("x-gorserill-class", rule.name())
                    .put("x-gorserill-effect", Effects.word(rule.effect()));
            channel.putObject("messages").putObject("job").put("$ref", "#/components/messages/" + message);
            ObjectNode push = operations
                    .putObject("push-" + rule.name())
                    .put("action", "receive")
                    .put("summary", "PUSH of a client. " + summary(rule));
            push.putObject("channel").put("$ref", "#/channels/" + rule.name());
            ArrayNode replies = push.putObject("reply").putArray("messages");
            for (String reply : new String[] {"Served", "Refused", "Failed"}) {
                replies.addObject().put("$ref", "#/components/messages/" + reply);
            }
            operations
                    .putObject("fetch-" + rule.name())
                    .put("action", "send")
                    .put("summary", "FETCH of a worker, settled by ACK or FAIL.")
                    .putObject("channel")
                    .put("$ref", "#/channels/" + rule.name());
        }
        ObjectNode components = document.putObject("components");
        components
                .putObject("securitySchemes")
                .putObject("password")
                .put("type", "userPassword")
                .put("description", "HELLO carries pwdhash, the iterated SHA-256 of password and salt.");
        ObjectNode messages = components.putObject("messages");
        job(messages.putObject("Job"));
        ObjectNode keyed = messages.putObject("KeyedJob");
        job(keyed);
        keyed.putObject("headers").put("type", "object").putArray("required").add("idempotency_key");
        reply(messages, "Served", "^\\+OK$", "A worker acknowledged the job.");
        reply(
                messages,
                "Refused",
                "^-ERR refused: not run, try again in [0-9]+ ms$",
                "Not run; pushing it again is harmless.");
        reply(
                messages,
                "Failed",
                "^-ERR failed: it may have run( before)?$",
                "Not done as far as is known, but it may have run.");
        return document;
    }

    private static void reply(ObjectNode messages, String name, String pattern, String summary) {
        messages.putObject(name)
                .put("summary", summary)
                .putObject("payload")
                .put("type", "string")
                .put("pattern", pattern);
    }

    private static void job(ObjectNode message) {
        ObjectNode payload = message.put("contentType", "application/json").putObject("payload");
        payload.put("type", "object")
                .putArray("required")
                .add("jid")
                .add("jobtype")
                .add("args");
        ObjectNode properties = payload.putObject("properties");
        properties.putObject("jid").put("type", "string").put("minLength", 8).put("maxLength", 128);
        properties.putObject("jobtype").put("type", "string").put("minLength", 1);
        properties.putObject("queue").put("type", "string").put("default", "default");
        properties.putObject("args").put("type", "array");
        properties.putObject("reserve_for").put("type", "integer");
        ObjectNode custom = properties.putObject("custom").put("type", "object").putObject("properties");
        custom.putObject("remaining_ms")
                .put("type", "integer")
                .put("minimum", 1)
                .put("maximum", MAX_REMAINING)
                .put("description", "How long the client waits; the class's limit where not given.");
        custom.putObject("idempotency_key")
                .put("type", "string")
                .put("minLength", 1)
                .put("maxLength", 128);
        custom.putObject("tenant").put("type", "string").put("description", WHOSE);
        custom.putObject("estimate_us")
                .put("type", "integer")
                .put("minimum", 0)
                .put("maximum", MAX_ESTIMATE)
                .put("description", "A guess at the work, in microseconds.");
        custom.putObject("slots").put("type", "number").put("minimum", 0);
    }
}
