package org.geraniumstand.operator;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.geraniumstand.operator.command.ConfigApplyCommand;
import org.geraniumstand.operator.command.ConfigShowCommand;
import org.geraniumstand.operator.command.ConfigValidateCommand;
import org.geraniumstand.operator.command.DataCentreInCommand;
import org.geraniumstand.operator.command.DataCentreOutCommand;
import org.geraniumstand.operator.command.ExplainCommand;
import org.geraniumstand.operator.command.MoveDeclareCommand;
import org.geraniumstand.operator.command.MoveStatusCommand;
import org.geraniumstand.operator.command.MoveWithdrawCommand;
import org.geraniumstand.operator.command.PresetListCommand;
import org.geraniumstand.operator.command.PresetSwitchCommand;
import org.geraniumstand.operator.command.StatusCommand;
import org.geraniumstand.operator.command.TimelineCommand;

/** Selects the command that the command line arguments name, parses its options and runs it. */
public final class CommandLine {
    private static final String PROGRAM = "geraniumctl";
    private static final List<String> HELP = List.of("--help", "-h", "help");

    /** Commands by name; a name consists of one or two words. */
    private final Map<String, Command> commands = new LinkedHashMap<>();

    /** Registers all commands. */
    public CommandLine() {
        commands.put("config validate", new ConfigValidateCommand());
        commands.put("config apply", new ConfigApplyCommand());
        commands.put("config show", new ConfigShowCommand());
        commands.put("preset list", new PresetListCommand());
        commands.put("preset switch", new PresetSwitchCommand());
        commands.put("move declare", new MoveDeclareCommand());
        commands.put("move status", new MoveStatusCommand());
        commands.put("move withdraw", new MoveWithdrawCommand());
        commands.put("data-centre out", new DataCentreOutCommand());
        commands.put("data-centre in", new DataCentreInCommand());
        commands.put("status", new StatusCommand());
        commands.put("explain", new ExplainCommand());
        commands.put("timeline", new TimelineCommand());
    }

    /**
     * Runs the command that the arguments name.
     *
     * @param args the command line arguments, starting with the name of the command
     * @param console receives the output and the error messages
     */
    public ExitCode run(List<String> args, Console console) {
        if (args.isEmpty() || HELP.contains(args.get(0))) {
            console.print(help());
            return args.isEmpty() ? ExitCode.USAGE : ExitCode.DONE;
        }
        String name = commandName(args);
        Command command = commands.get(name);
        if (command == null) {
            console.printError(
                    "Unknown command " + name + "; available commands: " + String.join(", ", commands.keySet()) + ".");
            return ExitCode.USAGE;
        }
        List<String> commandArgs = args.subList(name.split(" ").length, args.size());
        return run(name, command, commandArgs, console);
    }

    private ExitCode run(String name, Command command, List<String> args, Console console) {
        HelpOption help = new HelpOption();
        JCommander parser = JCommander.newBuilder()
                .programName(PROGRAM + " " + name)
                .addObject(command)
                .addObject(help)
                .build();
        try {
            parser.parse(args.toArray(new String[0]));
        } catch (ParameterException e) {
            console.printError(e.getMessage() + "\nTry: " + command.example());
            return ExitCode.USAGE;
        }
        if (help.requested) {
            console.print(usage(parser, command));
            return ExitCode.DONE;
        }
        return command.run(console);
    }

    private static String usage(JCommander parser, Command command) {
        StringBuilder text = new StringBuilder(description(command)).append("\n\n");
        parser.getUsageFormatter().usage(text);
        return text.append("\nExample: ").append(command.example()).toString();
    }

    private String help() {
        List<String> lines = new ArrayList<>();
        lines.add(PROGRAM + " operates a fleet of geraniumstand entry processes.");
        lines.add("");
        commands.forEach((name, command) -> {
            lines.add(name);
            lines.add("    " + description(command) + ".");
            lines.add("    " + command.example());
        });
        lines.add("");
        lines.add(
                "Each command accepts --help. Give the entry processes to connect to with --entry IP:port[,IP:port...] or");
        lines.add(
                "the variable GERANIUMSTAND_ENTRY, and the operators' token with --token-file or GERANIUMSTAND_TOKEN.");
        lines.add("");
        lines.add("Exit codes: 0 done, 1 refused, 2 invalid command line or file, 3 no entry process responded,");
        lines.add("            4 accepted, but not confirmed by every member in time");
        return String.join("\n", lines);
    }

    private String commandName(List<String> args) {
        boolean twoWords = args.size() > 1 && !commands.containsKey(args.get(0));
        return twoWords ? args.get(0) + " " + args.get(1) : args.get(0);
    }

    private static String description(Command command) {
        Parameters parameters = command.getClass().getAnnotation(Parameters.class);
        return parameters == null ? "" : parameters.commandDescription();
    }

    /** Holds the option that prints the help text of a command. */
    private static final class HelpOption {
        @Parameter(
                names = {"--help", "-h"},
                help = true,
                description = "Print what the command does, its options and an example")
        private boolean requested;
    }
}
