package org.geraniumstand.entry;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.nio.file.Path;
import org.geraniumstand.entry.relay.Rehearsal;
import org.geraniumstand.entry.settings.RelaySettingsFile;
import org.geraniumstand.entry.settings.Settings;
import org.geraniumstand.entry.settings.SettingsFile;
import org.geraniumstand.support.log.LogSetup;

/** Runs the entry process; main class of the binary {@code geraniumstand}. */
public final class Geraniumstand {
    private static final long STOP_TIMEOUT_MILLIS = 60_000;

    @Parameter(
            names = {"--settings", "-s"},
            description = "YAML file with the settings of this process")
    private String settingsFile;

    @Parameter(names = "--check", description = "Validate the settings and exit")
    private boolean check;

    @Parameter(
            names = {"--help", "-h"},
            help = true,
            description = "Print this help and exit")
    private boolean help;

    @Parameter(names = "--relay", description = "Relay callers' requests without interpreting their bodies")
    private boolean relay;

    @Parameter(
            names = "--rehearse",
            description = "Start on loopback and exit, to record a class data archive for faster starts")
    private boolean rehearse;

    private Geraniumstand() {}

    /**
     * Starts the process.
     *
     * @param args command-line arguments
     */
    @SuppressWarnings("SystemOut")
    public static void main(String[] args) {
        Geraniumstand command = new Geraniumstand();
        JCommander parser = JCommander.newBuilder()
                .programName("geraniumstand")
                .addObject(command)
                .build();
        try {
            parser.parse(args);
        } catch (ParameterException e) {
            System.err.println(e.getMessage());
            System.exit(RelayMain.EXIT_USAGE);
        }
        if (command.help) {
            parser.usage();
            System.out.println("Example: geraniumstand --settings entry-1.yaml --check");
            return;
        }
        LogSetup.configureForServer();
        if (command.rehearse) {
            Rehearsal.run();
            return;
        }
        if (command.settingsFile == null) {
            System.err.println("The following option is required: [--settings | -s]");
            System.exit(RelayMain.EXIT_USAGE);
        }
        if (command.relay) {
            RelaySettingsFile.read(Path.of(command.settingsFile))
                    .fold(
                            settings -> command.check
                                    ? printValid(command.settingsFile)
                                    : RelayMain.start(settings, Path.of(command.settingsFile)),
                            RelayMain::refuse);
            return;
        }
        SettingsFile.read(Path.of(command.settingsFile))
                .fold(settings -> command.check ? printValid(command.settingsFile) : run(settings), RelayMain::refuse);
    }

    // The process is its own server, so no container could manage its shutdown.
    @SuppressWarnings("ShutdownHook")
    private static boolean run(Settings settings) {
        EntryProcess process = EntryProcess.start(settings);
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            process.stopGracefully(STOP_TIMEOUT_MILLIS);
                            process.close();
                        },
                        "stop"));
        return true;
    }

    @SuppressWarnings("SystemOut")
    private static boolean printValid(String file) {
        System.out.println(file + ": the settings are valid");
        return true;
    }
}
