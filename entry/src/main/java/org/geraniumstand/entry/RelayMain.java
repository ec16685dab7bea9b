package org.geraniumstand.entry;

import java.nio.file.Path;
import org.geraniumstand.entry.relay.RelayProcess;
import org.geraniumstand.entry.settings.RelaySettings;
import org.geraniumstand.entry.settings.RelaySettingsFile;
import org.geraniumstand.entry.settings.SettingsError;
import org.geraniumstand.support.log.LogSetup;

/**
 * Starts a relay process from a settings file.
 *
 * <p>It is equivalent to {@code geraniumstand --relay --settings FILE}, but does not use the command-line parser,
 * whose reflection takes a tenth of the start-up time on a small host.
 */
public final class RelayMain {
    /** Exit code for an invalid command line or invalid settings. */
    static final int EXIT_USAGE = 2;

    private RelayMain() {}

    /**
     * Starts the process.
     *
     * @param args path of the settings file, the only argument
     */
    @SuppressWarnings("SystemOut")
    public static void main(String[] args) {
        if (args.length != 1) {
            System.err.println("Exactly one argument is required: the path of the settings file.");
            System.exit(EXIT_USAGE);
        }
        LogSetup.configureForServer();
        Path file = Path.of(args[0]);
        RelaySettingsFile.read(file).fold(settings -> start(settings, file), RelayMain::refuse);
    }

    /** Prints the errors in the settings and exits. */
    @SuppressWarnings("SystemOut")
    static boolean refuse(SettingsError error) {
        System.err.println(error.text());
        System.exit(EXIT_USAGE);
        return false;
    }

    // The process is its own server, so no container could manage its shutdown.
    @SuppressWarnings("ShutdownHook")
    static boolean start(RelaySettings settings, Path file) {
        RelayProcess process = RelayProcess.start(settings);
        HangupSignal.handle(() -> ChangedSettingsCheck.check(settings, file));
        Runtime.getRuntime().addShutdownHook(new Thread(process::stopGracefully, "stop"));
        return true;
    }
}
