package gorserill.program;

import gorserill.transport.ReservedPort;
import java.io.Closeable;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The scenario language. A line is {@code ACTOR VERB REST}; an actor is a connection.
 *
 * <pre>
 * C connect clients|faktory|NAME   opens a connection to a front of the node
 * W accept w1|w2                   waits for the node to connect to one of the stand-ins
 * C send TEXT                      \r \n as escapes; or a macro: JOB CLASS ID MS BODY, ANSWER, EVENT JSON,
 *                                  LAST JSON, LIST JSON, HELLO PASSWORD WID|- SALT ITERATIONS
 * C expect REGEX                   waits until it comes; ${name} recalls what (?&lt;name&gt;...) found before
 * C expect@FROM-TO REGEX           the same, so many milliseconds after the actor's last send
 * C expect &lt;closed&gt;                waits for the connection's end
 * C expect &lt;nothing&gt; MS            nothing comes for so long
 * R ready FRONT                    asks there for readyz until the answer is ok; {@code unready}: fail
 * C close                          ends the connection; {@code reset} breaks it
 * X refuse w1                      the stand-in refuses connections from now on, until {@code X reopen w1}
 * X mute w1                        connections to the stand-in never come up from now on
 * X flood FRONT N [TEXT]           opens so many connections that say TEXT or nothing; {@code ebb} ends them
 * X call NAME                      sets off something outside
 * - wait MS                        lets time pass
 * </pre>
 */
final class Scenario implements Closeable {
    private static final int PATIENCE = 5_000;
    private static final String FLOOD = "flood ";

    /** A connection with what has come on it and was not yet expected. */
    private static final class Actor {
        final Socket socket;
        final StringBuilder got = new StringBuilder();
        long sentAt = System.nanoTime();

        Actor(Socket socket) {
            this.socket = socket;
        }

        /** Reads some more; false at the end, or once the time is over. */
        boolean read(long untilNanos) throws IOException {
            long left = (untilNanos - System.nanoTime()) / 1_000_000;
            if (left <= 0) {
                throw new SocketTimeoutException();
            }
            socket.setSoTimeout((int) left);
            byte[] bytes = new byte[8192];
            int n = socket.getInputStream().read(bytes);
            got.append(n < 0 ? "" : new String(bytes, 0, n, StandardCharsets.ISO_8859_1));
            return n >= 0;
        }
    }

    private final Map<String, ServerSocket> standIns = new LinkedHashMap<>();
    private final List<ReservedPort> reserved = new ArrayList<>();
    private final Map<String, InetSocketAddress> fronts = new HashMap<>();
    private final Map<String, Runnable> calls = new HashMap<>();
    private final Map<String, Actor> actors = new HashMap<>();
    private final Map<String, String> variables = new HashMap<>(Map.of(
            "16k",
            "x".repeat(16 * 1024 + 1),
            "1k",
            "x".repeat(1024),
            "1m",
            "x".repeat(1024 * 1024),
            "40k",
            "x".repeat(40 * 1024),
            "trailer",
            "X-Trailer: none\r\n".repeat(1_024),
            "beats",
            "BEAT {}\r\n".repeat(80)));

    /** Names something outside that a scenario can set off. */
    void call(String name, Runnable call) {
        calls.put(name, call);
    }

    /** Opens a listener that the node may connect to. */
    InetSocketAddress standIn(String name) throws IOException {
        // Danger: once it refuses, or while it goes mute, its port must not become another's.
        ReservedPort port = ReservedPort.reserve();
        reserved.add(port);
        standIns.put(name, new ServerSocket(port.port(), 50, InetAddress.getLoopbackAddress()));
        return port.address();
    }

    void front(String name, InetSocketAddress address) {
        fronts.put(name, address);
    }

    void variable(String name, String value) {
        variables.put(name, value);
    }

    void run(List<String> lines) throws IOException {
        for (int i = 0; i < lines.size(); i++) {
            try {
                step(lines.get(i).trim());
            } catch (AssertionError | IOException e) {
                throw new AssertionError("line " + (i + 1) + ", " + lines.get(i).trim() + ": " + e, e);
            }
        }
    }

    private void step(String line) throws IOException {
        String[] words = line.split(" +", 3);
        String rest = words.length < 3 ? "" : words[2];
        String name = words[0];
        switch (words[1].replaceAll("@.*", "")) {
            case "connect" -> {
                actors.put(name, new Actor(connect(fronts.get(rest))));
            }
            case "ready" -> ask(name, fronts.get(rest), "ok");
            case "unready" -> ask(name, fronts.get(rest), "fail");
            case "accept" -> actors.put(name, new Actor(accept(rest.split("\\|"))));
            case "send" -> send(actors.get(name), recall(rest));
            case "expect" -> expect(actors.get(name), words[1], recall(rest));
            case "close" -> actors.remove(name).socket.close();
            case "reset" -> {
                actors.get(name).socket.setSoLinger(true, 0);
                actors.remove(name).socket.close();
            }
            case "mute" -> mute(rest);
            case "flood" -> {
                flood(rest.split(" ", 3));
            }
            case "ebb" -> {
                for (String actor : new ArrayList<>(actors.keySet())) {
                    if (actor.startsWith(FLOOD)) {
                        actors.remove(actor).socket.close();
                    }
                }
            }
            case "refuse" -> standIns.get(rest).close();
            case "reopen" ->
                standIns.put(
                        rest,
                        new ServerSocket(standIns.get(rest).getLocalPort(), 50, InetAddress.getLoopbackAddress()));
            case "call" -> calls.get(rest).run();
            case "wait" -> pause(Integer.parseInt(rest));
            default -> throw new AssertionError("no such verb");
        }
    }

    /** @param words front, number and what each is to say, in which # stands for its own number */
    private void flood(String[] words) throws IOException {
        for (int i = 0; i < Integer.parseInt(words[1]); i++) {
            Actor actor = new Actor(connect(fronts.get(words[0])));
            actors.put(FLOOD + i + "/" + actors.size(), actor);
            if (words.length > 2) {
                send(actor, recall(words[2]).replace("#", Integer.toString(i)));
            }
        }
    }

    private static void pause(int millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            throw new AssertionError(e);
        }
    }

    /** Fills the queue of a listener that nobody accepts from, so that nothing more ever comes up. */
    private void mute(String name) throws IOException {
        ServerSocket full = standIns.get(name);
        int port = full.getLocalPort();
        full.close();
        standIns.put(name, new ServerSocket(port, 1, InetAddress.getLoopbackAddress()));
        for (int i = 0; i < 8; i++) {
            Socket filler = new Socket();
            try {
                filler.connect(standIns.get(name).getLocalSocketAddress(), 100);
                actors.put(name + " filler " + i, new Actor(filler));
            } catch (SocketTimeoutException e) {
                return;
            }
        }
        throw new AssertionError("the queue does not fill up");
    }

    /** The node may still be starting: a refused connection is tried again. */
    private static Socket connect(InetSocketAddress to) throws IOException {
        for (long end = System.nanoTime() + PATIENCE * 1_000_000L; ; ) {
            try {
                return new Socket(to.getAddress(), to.getPort());
            } catch (ConnectException e) {
                if (System.nanoTime() > end) {
                    throw e;
                }
                pause(10);
            }
        }
    }

    /** Asks until the answer starts so; the one that said it stays. */
    private void ask(String name, InetSocketAddress operators, String answer) throws IOException {
        for (long end = System.nanoTime() + 2 * PATIENCE * 1_000_000L; System.nanoTime() < end; ) {
            actors.put(name, new Actor(connect(operators)));
            send(actors.get(name), "readyz\\n");
            expectMatch(actors.get(name), "(?<said>\\w+)");
            if (variables.get("said").equals(answer)) {
                return;
            }
            pause(20);
        }
        throw new AssertionError("it never said " + answer);
    }

    private Socket accept(String[] names) throws IOException {
        long end = System.nanoTime() + PATIENCE * 1_000_000L;
        while (System.nanoTime() < end) {
            for (String name : names) {
                try {
                    standIns.get(name).setSoTimeout(5);
                    return standIns.get(name).accept();
                } catch (SocketTimeoutException e) {
                    // The next may have one.
                }
            }
        }
        throw new AssertionError("nobody connected");
    }

    private void send(Actor actor, String text) throws IOException {
        actor.sentAt = System.nanoTime();
        actor.socket.getOutputStream().write(message(text).getBytes(StandardCharsets.ISO_8859_1));
    }

    static String message(String text) {
        String[] words = text.split(" ", 2);
        String rest = words.length < 2 ? "" : words[1];
        String chunk = Integer.toHexString(rest.length() + 1) + "\r\n" + rest + "\n\r\n";
        return switch (words[0]) {
            case "JOB" -> {
                String[] job = rest.split(" ", 4);
                yield "POST /" + job[0] + "/x?y=1 HTTP/1.1\r\nHost: app.svc\r\nX-Txn: " + job[1]
                        + "\r\nX-Lane: " + job[0] + "\r\nX-Remaining-Ms: " + job[2]
                        + "\r\nIdempotency-Key: k-" + job[1]
                        + "\r\nContent-Length: " + job[3].length() + "\r\n\r\n" + job[3];
            }
            case "ANSWER" -> "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            case "EVENT" -> chunk;
            case "LAST" -> chunk + "0\r\n\r\n";
            case "HELLO" -> hello(rest.split(" "));
            case "LIST" -> "HTTP/1.1 200 OK\r\nContent-Length: " + rest.length() + "\r\n\r\n" + rest;
            default -> text.replace("\\r", "\r").replace("\\n", "\n").replace("\\xff", "\u00ff");
        };
    }

    /** @param words password, wid or -, salt, iterations */
    private static String hello(String[] words) {
        try {
            MessageDigest sha = MessageDigest.getInstance("SHA-256");
            byte[] hash = (words[0] + words[2]).getBytes(StandardCharsets.UTF_8);
            for (int i = 0; i < Integer.parseInt(words[3]); i++) {
                hash = sha.digest(hash);
            }
            String wid = words[1].equals("-") ? "" : "\"wid\":\"" + words[1] + "\",";
            return "HELLO {" + wid + "\"pwdhash\":\"" + HexFormat.of().formatHex(hash) + "\",\"v\":2}\r\n";
        } catch (NoSuchAlgorithmException e) {
            throw new AssertionError(e);
        }
    }

    private void expect(Actor actor, String verb, String text) throws IOException {
        if (text.equals("<closed>")) {
            expectEnd(actor);
        } else if (text.startsWith("<nothing> ")) {
            expectNothing(actor, Integer.parseInt(text.substring(10)));
        } else {
            expectMatch(actor, text);
            if (verb.contains("@")) {
                String[] bounds = verb.substring(verb.indexOf('@') + 1).split("-");
                long took = (System.nanoTime() - actor.sentAt) / 1_000_000;
                if (took < Integer.parseInt(bounds[0]) || took > Integer.parseInt(bounds[1])) {
                    throw new AssertionError("came after " + took + " ms");
                }
            }
        }
    }

    private void expectMatch(Actor actor, String regex) throws IOException {
        Pattern pattern = Pattern.compile(regex, Pattern.DOTALL);
        long end = System.nanoTime() + PATIENCE * 1_000_000L;
        while (true) {
            Matcher matcher = pattern.matcher(actor.got);
            if (matcher.find()) {
                Matcher names = Pattern.compile("\\(\\?<(\\w+)>").matcher(regex);
                while (names.find()) {
                    variables.put(names.group(1), matcher.group(names.group(1)));
                }
                actor.got.delete(0, matcher.end());
                return;
            }
            try {
                if (!actor.read(end)) {
                    throw new AssertionError("the connection ended after '" + actor.got + "'");
                }
            } catch (SocketTimeoutException e) {
                throw new AssertionError("there is only '" + actor.got + "'");
            }
        }
    }

    private static void expectEnd(Actor actor) throws IOException {
        try {
            long end = System.nanoTime() + PATIENCE * 1_000_000L;
            while (actor.read(end)) {
                // What still comes is not looked at.
            }
        } catch (SocketTimeoutException e) {
            throw new AssertionError("it is still open");
        } catch (IOException e) {
            // Reset is an end, too.
        }
    }

    private static void expectNothing(Actor actor, int millis) throws IOException {
        try {
            if (actor.got.length() == 0 && !actor.read(System.nanoTime() + millis * 1_000_000L)) {
                throw new AssertionError("the connection ended");
            }
            throw new AssertionError("there is '" + actor.got + "'");
        } catch (SocketTimeoutException e) {
            // Nothing came, as expected.
        }
    }

    private String recall(String text) {
        String recalled = text;
        for (Map.Entry<String, String> variable : variables.entrySet()) {
            recalled = recalled.replace("${" + variable.getKey() + "}", variable.getValue());
        }
        return recalled;
    }

    @Override
    public void close() throws IOException {
        for (Actor actor : new ArrayList<>(actors.values())) {
            actor.socket.close();
        }
        for (ServerSocket standIn : standIns.values()) {
            standIn.close();
        }
        for (ReservedPort port : reserved) {
            port.close();
        }
    }
}
