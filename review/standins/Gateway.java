import java.io.IOException;
import java.io.InputStream;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.DirectoryNotEmptyException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A process of the role "entry", started with the command of the deploy file. */
final class Gateway {
    final String name;
    final String ip;
    final int port;
    private final int mReadinessPort;
    private final Path mSettings;
    private final Path mLog;
    private Process mProcess;

    /**
     * Writes the settings of a process.
     *
     * @param work a temporary folder
     * @param zone the zone of its machine
     * @param exchangePort the first port for messages between processes, the same on all machines
     * @param seeds the addresses of processes that others ask at their start
     */
    Gateway(
            Path work,
            String name,
            String zone,
            String ip,
            int exchangePort,
            List<String> seeds,
            Store store)
            throws IOException {
        this.name = name;
        this.ip = ip;
        port = freePort(ip);
        mReadinessPort = freePort(ip);
        mSettings = work.resolve(name + ".json");
        mLog = work.resolve(name + ".out");
        String text = Files.readString(root().resolve("deploy/node.settings"));
        text = fill(text, "node-name", quoted(name));
        text = fill(text, "zone", quoted(zone));
        text = fill(text, "ip", quoted(ip));
        text = fill(text, "listen.front", quoted(ip + ":" + port));
        text = fill(text, "listen.readiness", quoted(ip + ":" + mReadinessPort));
        text = fill(text, "port-range", "[" + exchangePort + "," + (exchangePort + 15) + "]");
        List<String> quotedSeeds = seeds.stream().map(Gateway::quoted).toList();
        text = fill(text, "seeds", "[" + String.join(",", quotedSeeds) + "]");
        text = fill(text, "platform.address", quoted(store.address()));
        text = fill(text, "limits.memory-mb", "430");
        text = fill(text, "bounds.stable-window-ms", "3000");
        text = fill(text, "bounds.drain-ms", "2000");
        text = fill(text, "bounds.lease-ms", "3000");
        text = fill(text, "bounds.retry-ratio", "0.2");
        text = fill(text, "bounds.retry-slack", "58");
        text = fill(text, "bounds.retry-window-s", "10");
        text = fill(text, "bounds.grace-s", "8");
        Files.writeString(mSettings, text);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> discard(work)));
    }

    /** Removes the temporary folder once the process has ended. */
    private void discard(Path work) {
        try {
            if (mProcess != null) {
                kill();
            }
            Files.deleteIfExists(mSettings);
            Files.deleteIfExists(mLog);
            Files.deleteIfExists(work);
        } catch (DirectoryNotEmptyException e) {
            // Another gateway's files are still there.
        } catch (IOException | InterruptedException e) {
            System.err.println("can't remove " + work + ": " + e);
        }
    }

    static Path root() {
        return Path.of(System.getProperty("root")).toAbsolutePath().normalize();
    }

    private static String fill(String text, String name, String json) {
        return text.replace("{{" + name + "|json}}", json);
    }

    private static String quoted(String text) {
        return '"' + text + '"';
    }

    static int freePort(String ip) throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return s.getLocalPort();
        }
    }

    static int freeDatagramPort() throws IOException {
        try (DatagramSocket s = new DatagramSocket()) {
            return Math.min(s.getLocalPort(), 65_000);
        }
    }

    void start() throws IOException {
        startProcess(ProcessBuilder.Redirect.appendTo(mLog.toFile()));
    }

    /** Starts the process with a pipe as its standard output, and returns the end to read. */
    InputStream startWithPipe() throws IOException {
        startProcess(ProcessBuilder.Redirect.PIPE);
        return mProcess.getInputStream();
    }

    private void startProcess(ProcessBuilder.Redirect output) throws IOException {
        String deploy = Files.readString(root().resolve("deploy/system.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
        if (!run.find()) {
            throw new IOException("the deploy file names no command");
        }
        ProcessBuilder builder =
                new ProcessBuilder(new ArrayList<>(List.of(run.group(1).split(" "))))
                        .directory(root().toFile())
                        .redirectErrorStream(true)
                        .redirectOutput(output);
        builder.environment().put("FESCUEHOLLOW_SETTINGS", mSettings.toString());
        mProcess = builder.start();
    }

    /** Waits until the process says that it is ready. */
    void awaitReady() throws Exception {
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (System.nanoTime() < end) {
            if (isReady()) {
                return;
            }
            Thread.sleep(50);
        }
        throw new IOException(name + " isn't ready; see " + mLog);
    }

    boolean isReady() {
        try (Http1.Connection c = Http1.Connection.open(ip, mReadinessPort, 1_000)) {
            c.write("GET /fescuehollow/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
            return c.readHead().status() == 200;
        } catch (IOException | RuntimeException e) {
            return false;
        }
    }

    long pid() {
        return mProcess.pid();
    }

    boolean isAlive() {
        return mProcess.isAlive();
    }

    /** Asks the process to stop. */
    void terminate() {
        mProcess.destroy();
    }

    void kill() throws InterruptedException {
        mProcess.destroyForcibly();
        mProcess.waitFor();
    }

    void awaitEnd(long millis) throws InterruptedException {
        mProcess.waitFor(millis, TimeUnit.MILLISECONDS);
    }

    String log() throws IOException {
        return Files.readString(mLog);
    }
}
