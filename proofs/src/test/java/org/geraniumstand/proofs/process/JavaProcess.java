package org.geraniumstand.proofs.process;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** Starts and controls one Java process that runs the classes under test. */
abstract class JavaProcess implements AutoCloseable {
    private static final String JAVA =
            Path.of(System.getProperty("java.home"), "bin", "java").toString();

    private static final int LAST_LINES = 20;

    private final String name;
    private final Process process;
    private final Path log;

    JavaProcess(String name, Path log, List<String> options, List<String> mainClassAndArguments) {
        this.name = name;
        this.log = log;
        List<String> command = new ArrayList<>();
        command.add(JAVA);
        command.addAll(options);
        command.addAll(List.of("-cp", System.getProperty("java.class.path")));
        command.addAll(mainClassAndArguments);
        try {
            process = new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                    .start();
        } catch (IOException e) {
            throw Ports.failed(e);
        }
    }

    boolean alive() {
        return process.isAlive();
    }

    void kill() {
        process.destroyForcibly();
        awaitExit();
    }

    void freeze() {
        signal("STOP");
    }

    void resume() {
        signal("CONT");
    }

    /** Sends SIGTERM to the process, as the platform does before it replaces a host. */
    void terminate() {
        process.destroy();
    }

    int awaitExit() {
        try {
            if (!process.waitFor(Conditions.LIMIT_MILLIS * 3, TimeUnit.MILLISECONDS)) {
                throw new IllegalStateException(name + " did not exit within 90 s");
            }
            return process.exitValue();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        }
    }

    /** Returns the resident memory of the process, in kilobytes, or 0 if it is not reported. */
    long residentKilobytes() {
        return statusKilobytes("VmRSS:");
    }

    /** Returns the largest resident memory of the process so far, in kilobytes, or 0 if the process has ended. */
    long peakKilobytes() {
        return alive() ? statusKilobytes("VmHWM:") : 0;
    }

    /** Returns the number of open descriptors of the process, or 0 if it has ended. */
    int descriptors() {
        String[] names = new File("/proc/" + process.pid() + "/fd").list();
        return names == null ? 0 : names.length;
    }

    /** Returns the last lines of the log, for the message of a failed assertion. */
    String lastLines() {
        List<String> lines = log().lines().toList();
        return String.join("\n", lines.subList(Math.max(0, lines.size() - LAST_LINES), lines.size()));
    }

    private long statusKilobytes(String entry) {
        try {
            return Files.readAllLines(Path.of("/proc/" + process.pid() + "/status")).stream()
                    .filter(line -> line.startsWith(entry))
                    .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
                    .findFirst()
                    .orElse(0);
        } catch (IOException e) {
            throw Ports.failed(e);
        }
    }

    String log() {
        try {
            return Files.readString(log);
        } catch (IOException e) {
            throw Ports.failed(e);
        }
    }

    @Override
    public void close() {
        if (process.isAlive()) {
            kill();
        }
    }

    private void signal(String signalName) {
        try {
            new ProcessBuilder("kill", "-" + signalName, Long.toString(process.pid()))
                    .start()
                    .waitFor();
        } catch (IOException e) {
            throw Ports.failed(e);
        } catch (InterruptedException _e) {
            Thread.currentThread().interrupt();
        }
    }
}
