package org.fescuehollow.gateway.testsupport;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.fescuehollow.gateway.EntryNode;
import org.fescuehollow.gateway.node.NodeSettings;

/** An entry node in a process of its own, which can be stopped as the platform does it. */
public final class EntryProcess implements AutoCloseable {
    private static final long MAX_LIFE_SECONDS = 30;

    private final Path mSettings;
    private final Path mLog;
    private final Process mProcess;

    EntryProcess(String settings) {
        try {
            mSettings = Files.createTempFile("entry", ".json");
            Files.writeString(mSettings, settings);
            mLog = Files.createTempFile("entry", ".log");
            ProcessBuilder builder =
                    new ProcessBuilder(
                                    Path.of(System.getProperty("java.home"), "bin", "java")
                                            .toString(),
                                    "-Xmx128m",
                                    "-XX:+UseSerialGC",
                                    "-XX:TieredStopAtLevel=1",
                                    "-cp",
                                    System.getProperty("java.class.path"),
                                    EntryNode.class.getName())
                            .redirectErrorStream(true)
                            .redirectOutput(mLog.toFile());
            builder.environment().put(NodeSettings.SETTINGS_FILE_VARIABLE, mSettings.toString());
            mProcess = builder.start();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Sends SIGTERM. */
    public void terminate() {
        mProcess.destroy();
    }

    /** Waits until the process has ended, and returns its exit code. */
    public int awaitExit() throws InterruptedException {
        if (!mProcess.waitFor(MAX_LIFE_SECONDS, TimeUnit.SECONDS)) {
            throw new AssertionError("expected the process to end\n" + log());
        }
        return mProcess.exitValue();
    }

    public boolean isAlive() {
        return mProcess.isAlive();
    }

    /** Returns what the process has logged. */
    public String log() {
        try {
            return Files.readString(mLog);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() {
        mProcess.destroyForcibly().onExit().join();
        try {
            Files.delete(mSettings);
            Files.delete(mLog);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
