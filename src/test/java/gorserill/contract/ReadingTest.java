package gorserill.contract;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import gorserill.contract.read.Headroom;
import gorserill.contract.read.Library;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** What a description can have wrong, and what would hang or mislead a careless reader. */
class ReadingTest {
    private static final String BODY = """
        /j:
          post:
            x-gorserill-class: estado
            requestBody:
              content:
                application/json:
                  schema: %s
        """;

    private static Described schema(String schema) {
        return Described.paths(BODY.formatted(schema));
    }

    /** Each fault is told with its place and what to do. */
    static Stream<Arguments> faults() {
        return Stream.of(
                Arguments.of("openapi: 2.0.0", "d.yaml:1:10 #/openapi: openapi '2.0.0' is not spoken"),
                Arguments.of("{\n \"openapi\": \"3.1.0\",\n \"info\" {} }", "d.yaml:3:"),
                Arguments.of("openapi: 3.1.0\ninfo: [1", "not readable as YAML"),
                Arguments.of(
                        "{\"openapi\":\"3.1.0\",\n\"info\":{},\"info\":{}}",
                        "d.yaml:2:11 #/info: the name 'info' stands here for the second time"),
                Arguments.of("openapi: 3.1.0\ninfo: {title: t}\npaths: {}", "#/info: 'version' is missing"),
                Arguments.of(
                        "openapi: 3.1.0\ninfo: {title: t, version: '1'}\npaths:\n  j: {}",
                        "d.yaml:4:6 #/paths/j: the path 'j' must begin with a slash"),
                Arguments.of("a: &x {b: 1}\n<<: *x\nopenapi: 3.1.0", "merge keys (<<) are no part of YAML 1.2"),
                Arguments.of("---\nopenapi: 3.1.0\n---\nopenapi: 3.1.0", "a second document follows"),
                Arguments.of("openapi: *nobody", "alias *nobody names no anchor before it"),
                Arguments.of("", "the file is empty"));
    }

    @ParameterizedTest
    @MethodSource("faults")
    void aFaultIsToldByItsPlace(String text, String told) {
        Described described = Described.yaml(text);
        assertNull(described.contract);
        assertTrue(
                described.told().stream().anyMatch(line -> line.contains(told)),
                described.told().toString());
    }

    @Test
    void allFaultsAreToldAtOnce() {
        Described described = Described.paths("""
            /a/{x}: {get: {}}
            /a/{y}: {get: {}}
            /b:
              post:
                x-gorserill-class: nobody
                x-gorserill-effect: often
                x-gorserill-efect: safe
                parameters:
                  [{name: q, in: qery}, {name: r, in: query}, {name: s, in: query, schema: {type: txt}}]
                requestBody: {}
            """);
        List<String> told = described.told();
        for (String part : List.of(
                "{x} in the path is not described",
                "is the same as that of",
                "class 'nobody'",
                "'often' is no effect",
                "no extension 'x-gorserill-efect'",
                "'qery' is no place",
                "neither schema nor content",
                "'txt' is no type",
                "'content' is missing")) {
            assertTrue(told.stream().anyMatch(line -> line.contains(part)), part + " in " + told);
        }
        assertTrue(told.stream().allMatch(line -> line.matches("d\\.yaml:\\d+:\\d+ #/\\S+: .+; .+")), told.toString());
    }

    @Test
    void referencesAreFollowedWithinTheFolderAndNoFurther() throws IOException {
        Path secret = Files.createTempFile("secret", ".yaml");
        Files.writeString(secret, "type: object");
        for (String ref : List.of(
                "../" + secret.getFileName(),
                secret.toString(),
                "http://127.0.0.1/x.yaml",
                "file://" + secret,
                "//127.0.0.1/x",
                "parts/../../" + secret.getFileName())) {
            Described described = schema("{$ref: '" + ref + "'}");
            assertNull(described.contract, ref);
            assertTrue(
                    described.told().get(0).contains("leads o"),
                    described.told().toString());
        }
        Described linked = new Described(Described.RULES, "d.yaml", "openapi: 3.1.0");
        Files.createSymbolicLink(linked.folder.resolve("inside.yaml"), secret);
        Files.writeString(
                linked.folder.resolve("e.yaml"),
                "openapi: 3.1.0\ninfo: {title: t, version: '1'}\n" + "paths:\n  /j: {$ref: inside.yaml}\n");
        var faults = new gorserill.contract.read.Faults();
        assertNull(ContractReader.read(
                () -> Library.open(linked.folder.resolve("e.yaml"), faults, Headroom.UNLIMITED), faults, null));
        assertTrue(faults.text().contains("leads out of the description's folder"), faults.text());
        Described beside = new Described(
                Described.RULES,
                "d.yaml",
                "openapi: 3.1.0\ninfo: {title: t, version: '1'}\n" + "paths:\n  /j: {$ref: 'parts/j.yaml#/item'}\n",
                "parts/j.yaml",
                "item:\n  post:\n    x-gorserill-class:"
                        + " estado\n    requestBody: {content: {application/json: {schema: {$ref: "
                        + "'../types.json#/T'}}}}\n",
                "types.json",
                "{\"T\": {\"type\": \"integer\"}}");
        assertEquals(List.of(), beside.told());
        assertEquals(0, Described.status(beside.post("/j", "7")));
        assertEquals(422, Described.status(beside.post("/j", "\"7\"")));
    }

    @Test
    void aCycleOfReferencesIsAFaultOnlyWhereItNeverEnds() {
        Described never = Described.paths("/j: {$ref: '#/paths/~1k'}\n/k: {$ref: '#/paths/~1j'}");
        assertTrue(
                never.told().get(0).contains("leads back to itself"),
                never.told().toString());
        for (String schema : List.of(
                "{$ref: '#/components/schemas/A'}",
                "{allOf: [{$ref: '#/components/schemas/A'}]}",
                "{anyOf: [{type: 'null'}, {not: {$ref: '#/components/schemas/B'}}]}")) {
            Described loop = Described.yaml("openapi: 3.1.0\ninfo: {title: t, version: '1'}\npaths:\n"
                    + BODY.formatted("{$ref: '#/components/schemas/A'}").indent(2)
                    + "components:\n  schemas:\n    A: "
                    + schema + "\n    B: {$ref: '#/components/schemas/A'}\n");
            assertTrue(
                    loop.told().stream().anyMatch(line -> line.contains("leads back to itself")), schema + loop.told());
        }
        Described tree = Described.yaml("openapi: 3.1.0\ninfo: {title: t, version: '1'}\npaths:\n"
                + BODY.formatted("{$ref: '#/components/schemas/T'}").indent(2)
                + "components:\n  schemas:\n    T: "
                + "{type: object, properties: {v: {type: integer}, next: {$ref: '#/components/schemas/T'}}}\n");
        assertEquals(List.of(), tree.told());
        assertEquals(0, Described.status(tree.post("/j", "{\"v\":1,\"next\":{\"next\":{\"v\":2}}}")));
        Verdict deep = tree.post("/j", "{\"v\":1,\"next\":{\"next\":{\"v\":\"2\"}}}");
        assertEquals("#/next/next/v", deep.problem().pointer());
    }

    @Test
    void anAliasBombIsAFault() {
        StringBuilder bomb = new StringBuilder("a0: &a0 [x, x, x, x, x, x, x, x, x, x]\n");
        for (int i = 1; i < 12; i++) {
            bomb.append("a%d: &a%d [%s]\n".formatted(i, i, ("*a" + (i - 1) + ", ").repeat(9) + "*a" + (i - 1)));
        }
        Described described =
                assertTimeoutPreemptively(Duration.ofSeconds(20), () -> Described.yaml(bomb + "openapi: 3.1.0"));
        assertTrue(
                described.told().get(0).contains("aliases followed"),
                described.told().toString());
    }

    @Test
    void aSchemaAThousandLevelsDeepIsAFault() {
        String deep = "{\"properties\":{\"a\":".repeat(1_000) + "{}" + "}}".repeat(1_000);
        for (String text : List.of(deep, "x: " + "[".repeat(1_000) + "]".repeat(1_000))) {
            Described described = Described.yaml(text);
            assertTrue(
                    described.told().get(0).contains("levels")
                            || described.told().get(0).contains("depth"),
                    described.told().toString());
        }
    }

    @Test
    void aCatastrophicPatternEndsInTime() {
        Described evil = schema("{type: string, pattern: '^(a+)+$'}");
        String text = "\"" + "a".repeat(30_000) + "!\"";
        assertEquals(422, (int)
                assertTimeoutPreemptively(Duration.ofSeconds(20), () -> Described.status(evil.post("/j", text))));
        for (String pattern : List.of("(?=a)b", "(a)\\1", "(?<!a)b", "[", "a{5000}")) {
            assertTrue(schema("{pattern: '" + pattern + "'}").told().get(0).contains("linear time"), pattern);
        }
        assertEquals(0, Described.status(schema("{pattern: '^\\u00e9\\/$'}").post("/j", "\"é/\"")));
    }

    @Test
    void anExponentialSchemaEndsInTime() {
        Described twice = Described.yaml("openapi: 3.1.0\ninfo: {title: t, version: '1'}\npaths:\n"
                + BODY.formatted("{$ref: '#/components/schemas/T'}").indent(2)
                + "components:\n  schemas:\n    T: "
                + "{type: object, properties: {n: {anyOf: [{$ref: '#/components/schemas/T'}, "
                + "{$ref: '#/components/schemas/T'}]}}}\n");
        assertEquals(List.of(), twice.told());
        assertEquals(0, Described.status(twice.post("/j", "{\"n\":".repeat(5) + "{}" + "}".repeat(5))));
        String worst = "{\"n\":".repeat(50) + "1" + "}".repeat(50);
        Verdict verdict = assertTimeoutPreemptively(Duration.ofSeconds(20), () -> twice.post("/j", worst));
        assertEquals(422, Described.status(verdict));
        assertTrue(
                verdict.problem().detail().contains("too intricate"),
                verdict.problem().detail());
    }

    @Test
    void whatIsNotSpokenIsSaidNotIgnored() {
        assertTrue(schema("{$id: 'http://a/b'}").told().get(0).contains("'$id' is not spoken here"));
        assertTrue(schema("{$dynamicRef: '#x'}").told().get(0).contains("'$dynamicRef' is not spoken here"));
        Described anchored = schema("{$ref: '#here', $defs: {a: {$anchor: here, type: integer}}}");
        assertEquals(List.of(), anchored.told());
        assertEquals(422, Described.status(anchored.post("/j", "\"a\"")));
    }

    @Test
    void eachDialectIsReadInItsOwnWay() {
        String v30 = "openapi: 3.0.3\ninfo: {title: t, version: '1'}\npaths:\n"
                + BODY.formatted("{type: object, required: [id, n], properties: {id: {type: integer, readOnly: true}, "
                                + "n: {type: integer, nullable: true, maximum: 5, exclusiveMaximum: true}}}")
                        .indent(2)
                        .stripTrailing()
                + "\n      responses: {'200': {description: d}}\n";
        Described described = Described.yaml(v30);
        assertEquals(List.of(), described.told());
        assertEquals(0, Described.status(described.post("/j", "{\"n\":null}")));
        assertEquals(0, Described.status(described.post("/j", "{\"n\":4}")));
        assertEquals(422, Described.status(described.post("/j", "{\"n\":5}")));
        assertEquals(422, Described.status(described.post("/j", "{}")));
        Described pets = Described.yaml("openapi: 3.1.0\ninfo: {title: t, version: '1'}\npaths:\n"
                + BODY.formatted("{oneOf: [{$ref: '#/components/schemas/Cat'}, {$ref: '#/components/schemas/Dog'}], "
                                + "discriminator: "
                                + "{propertyName: kind, mapping: {perro: '#/components/schemas/Dog'}}}")
                        .indent(2)
                + "components:\n  schemas:\n    Cat: {type: object, properties: {lives: {type: integer}}}\n"
                + "    Dog: {type: object, required: [bark], properties: {bark: {type: string}}}\n");
        assertEquals(List.of(), pets.told());
        assertEquals(0, Described.status(pets.post("/j", "{\"kind\":\"Cat\",\"lives\":9}")));
        assertEquals(0, Described.status(pets.post("/j", "{\"kind\":\"perro\",\"bark\":\"b\"}")));
        assertEquals(
                "#/bark",
                pets.post("/j", "{\"kind\":\"Dog\",\"bark\":1}").problem().pointer());
        assertEquals(422, Described.status(pets.post("/j", "{\"lives\":9}")));
        assertEquals(422, Described.status(pets.post("/j", "{\"kind\":\"Eel\"}")));
    }

    @Test
    void yamlIsReadAsOfItsVersionOnePointTwo() {
        Described described = schema("{enum: [no, off, 'yes', 007, 0x10, 1e2, ~]}");
        assertEquals(List.of(), described.told());
        for (String body : List.of("\"no\"", "\"off\"", "\"yes\"", "100", "null")) {
            assertEquals(0, Described.status(described.post("/j", body)), body);
        }
        assertEquals(422, Described.status(described.post("/j", "false")));
    }

    /**
     * One value is put in place of another, of whatever kind: that is a fault or it is not, but never a
     * crash.
     */
    @Test
    void nothingThatIsWrongWithADescriptionIsACrash() throws IOException {
        String[] others = {
            "null",
            "1",
            "-1",
            "1e400",
            "\"x\"",
            "[]",
            "[null]",
            "{}",
            "true",
            "[{}]",
            "{\"$ref\":\"#\"}",
            "{\"$ref\":1}"
        };
        String servers =
                "{\"servers\":[{\"url\":\"/{v}\",\"variables\":{\"v\":{\"default\":\"a\",\"enum\":[\"b\"]}}}],";
        Path folder = Files.createTempDirectory("wrong");
        int sound = 0;
        for (int seed = 0; seed < 600; seed++) {
            java.util.SplittableRandom random = new java.util.SplittableRandom(seed);
            Generated generated = new Generated(seed % 20, 3);
            String text =
                    switch (seed % 4) {
                        case 0 -> generated.asyncApi("estado", "cierre");
                        case 1 ->
                            servers + generated.openApi("estado", "cierre").substring(1);
                        case 2 -> Files.readString(Path.of("deploy/openapi.json"));
                        default -> Files.readString(Path.of("deploy/asyncapi.json"));
                    };
            var root = new com.fasterxml.jackson.databind.ObjectMapper().readTree(text);
            List<com.fasterxml.jackson.databind.JsonNode> parents = new java.util.ArrayList<>(root.findParents("type"));
            for (String name : List.of(
                    "schema",
                    "enum",
                    "in",
                    "default",
                    "address",
                    "payload",
                    "parameters",
                    "properties",
                    "oneOf",
                    "required",
                    "messages",
                    "url",
                    "content",
                    "maximum",
                    "action")) {
                parents.addAll(root.findParents(name));
            }
            var parent = (com.fasterxml.jackson.databind.node.ObjectNode) parents.get(random.nextInt(parents.size()));
            List<String> names = new java.util.ArrayList<>();
            parent.fieldNames().forEachRemaining(names::add);
            parent.set(
                    names.get(random.nextInt(names.size())),
                    new com.fasterxml.jackson.databind.ObjectMapper().readTree(others[random.nextInt(others.length)]));
            Path file = Files.writeString(folder.resolve("d.json"), root.toString());
            var faults = new gorserill.contract.read.Faults();
            int at = seed;
            Contract contract = org.junit.jupiter.api.Assertions.assertDoesNotThrow(
                    () -> ContractReader.read(() -> Library.open(file, faults, Headroom.UNLIMITED), faults, null),
                    () -> "seed " + at + ": " + root);
            assertFalse(faults.text().contains("the validator can't use"), faults::text);
            assertEquals(faults.sound(), contract != null, faults.text());
            sound += contract == null ? 0 : 1;
        }
        assertTrue(sound > 50 && sound < 550, sound + " sound");
    }

    @Test
    void warningsDoNotKeepADescriptionOut() {
        Described described = Described.paths("/j:\n  put: {x-gorserill-class: alerta, x-gorserill-effect: once}");
        assertTrue(described.contract != null && described.faults.sound());
        assertFalse(described.told().isEmpty());
    }
}
