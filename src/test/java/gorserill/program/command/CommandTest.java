package gorserill.program.command;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;
import picocli.CommandLine;

/** The command line, as scripts see it: exit status and what is printed. */
public class CommandTest {
    private final StringWriter out = new StringWriter();
    private Path folder;
    private Path settings;
    private Path sound;
    private Path faulty;

    @BeforeClass
    public void files() throws Exception {
        folder = Files.createTempDirectory("command");
        settings = folder.resolve("settings.json");
        try (var text = CommandTest.class.getResourceAsStream("/gorserill/program/demo.json")) {
            Files.writeString(
                    settings,
                    new String(text.readAllBytes(), StandardCharsets.UTF_8)
                            .replace("CLIENTS", "1")
                            .replace("OPERATORS", "2")
                            .replace("DISCOVERY", "3"));
        }
        sound = folder.resolve("openapi.json");
        faulty = Files.writeString(folder.resolve("faulty.yaml"), "openapi: 3.1.0\ninfo: {title: t}\npaths: {}\n");
        assertEquals(run("contract", "export", "--settings", settings.toString(), "--to", folder.toString()), 0);
    }

    private int run(String... args) {
        out.getBuffer().setLength(0);
        CommandLine line = new CommandLine(new GorserillCommand());
        line.setOut(new PrintWriter(out, true)).setErr(new PrintWriter(out, true));
        return line.execute(args);
    }

    private JsonNode json() throws Exception {
        return new ObjectMapper().readTree(out.toString());
    }

    @Test
    public void checkTellsFaultsAndItsStatusSaysWhether() throws Exception {
        assertEquals(run("contract", "check", sound.toString(), "--settings", settings.toString()), 0, out.toString());
        assertEquals(run("contract", "check", sound.toString(), faulty.toString(), "--format", "json"), 1);
        JsonNode fault = json().get("faults").get(0);
        assertEquals(fault.get("pointer").asText(), "/info");
        assertEquals(fault.get("line").asInt(), 2);
        assertTrue(fault.get("what").asText().contains("'version' is missing"), fault.toString());
        assertEquals(run("contract", "check"), 2);
        assertEquals(run("contract", "check", sound.toString(), "--settings", faulty.toString()), 2);
        assertEquals(run("contract"), 2);
        assertEquals(run("dance"), 2);
        assertEquals(run("contract", "check", folder.resolve("none").toString()), 1);
    }

    @Test
    public void showTellsWhatWasLearnedAndFromWhere() throws Exception {
        assertEquals(
                run("contract", "show", sound.toString(), "--settings", settings.toString(), "--format", "json"),
                0,
                out.toString());
        JsonNode alert = json().get("operations").get(2);
        assertEquals(alert.at("/class/value").asText(), "alerta");
        assertEquals(alert.at("/effect/value").asText(), "once");
        assertTrue(alert.at("/effect/source").asText().endsWith("#/paths/~1alerta/post/x-gorserill-effect"));
        assertEquals(alert.at("/deadline/value").asText(), "1500 ms");
        assertEquals(run("contract", "show", folder.resolve("asyncapi.json").toString()), 0);
        assertTrue(out.toString().contains("push-cierre  message to cierre"), out.toString());
    }

    @Test
    public void matchSaysWhetherAndWhy() throws Exception {
        String file = sound.toString();
        assertEquals(
                run("contract", "match", file, "POST", "/cierre", "-H", "X-Txn: a", "-H", "Idempotency-Key: k"), 0);
        assertTrue(out.toString().startsWith("let in"), out.toString());
        assertEquals(run("contract", "match", file, "POST", "/cierre", "-H", "X-Txn: a", "--format", "json"), 1);
        assertEquals(json().at("/problem/status").asInt(), 422);
        assertEquals(json().at("/problem/pointer").asText(), "header Idempotency-Key");
        assertEquals(run("contract", "match", file, "POST", "/cierre", "-H", "nonsense"), 2);
        Path job =
                Files.writeString(folder.resolve("job.json"), "{\"jid\":\"12345678\",\"jobtype\":\"x\",\"args\":[]}");
        String messages = folder.resolve("asyncapi.json").toString();
        assertEquals(
                run("contract", "match", messages, "MESSAGE", "alerta", "--body", job.toString()), 0, out.toString());
        assertEquals(run("contract", "match", messages, "MESSAGE", "cierre", "--body", job.toString()), 1);
    }

    @Test
    public void diffsStatusSaysWhetherSomethingBreaks() throws Exception {
        assertEquals(run("contract", "diff", sound.toString(), sound.toString()), 0, out.toString());
        Path weaker = folder.resolve("weaker.json");
        Files.writeString(weaker, Files.readString(sound).replace("\"once\"", "\"safe\""));
        assertEquals(run("contract", "diff", sound.toString(), weaker.toString(), "--format", "json"), 1);
        assertEquals(json().get("breaking").asInt(), 1);
        assertEquals(json().at("/changes/0/side").asText(), "effect");
        assertEquals(run("contract", "diff", weaker.toString(), sound.toString()), 0, out.toString());
    }

    @Test
    public void exportedDescriptionsPassTheCheck() throws Exception {
        for (String file : new String[] {"openapi.json", "asyncapi.json"}) {
            assertEquals(
                    run("contract", "check", folder.resolve(file).toString(), "--settings", settings.toString()),
                    0,
                    out.toString());
        }
        assertEquals(run("contract", "export", "--settings", settings.toString()), 0);
        assertTrue(json().has("openapi") && json().has("asyncapi"));
    }
}
