package org.geraniumstand.entry;

import java.nio.file.Path;
import org.geraniumstand.entry.relay.RelayProcess;
import org.geraniumstand.entry.settings.RelaySettings;
import org.geraniumstand.entry.settings.RelaySettingsFile;
import org.geraniumstand.entry.settings.SettingsError;
import org.geraniumstand.support.log.LogSetup;

/**
 * Starts a process that relays calls, from its settings file alone.
 *
 * <p>It does what {@code geraniumstand --relay --settings FILE} does. There is nothing else to parse on this command line, and
 * the parser's reflection takes a small host a tenth of its start.
 */
public final class RelayMain {
    /** Exit code where the command line or the settings are not valid. */
    static final int EXIT_USAGE = 2;

    private RelayMain() {}

    /**
     * Starts the process.
     *
     * @param args the path of the settings file
     */
    @SuppressWarnings("SystemOut")
    public static void main(String[] args) {
        if (args.length != 1) {
            System.err.println("The path of the settings file is required, and nothing else.");
            System.exit(EXIT_USAGE);
        }
        LogSetup.configureForServer();
        Path file = Path.of(args[0]);
        RelaySettingsFile.read(file).fold(settings -> start(settings, file), RelayMain::refuse);
    }

    /** Ends the process, as its settings are not valid. */
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
        HangUp.handle(() -> SettingsChange.note(settings, file));
        Runtime.getRuntime().addShutdownHook(new Thread(process::stopGracefully, "stop"));
        return true;
    }
}
