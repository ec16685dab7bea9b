package org.geraniumstand.operator.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.time.Instant;
import java.util.Optional;
import org.geraniumstand.model.id.MoveId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.VersionId;
import org.geraniumstand.model.operation.MoveDeclaration;
import org.geraniumstand.operator.Command;
import org.geraniumstand.operator.Console;
import org.geraniumstand.operator.ExitCode;

/** Declares a version move. */
@Parameters(commandDescription = "Shift a service's traffic to another version by a deadline")
public final class MoveDeclareCommand implements Command {
    @Parameter(names = "--service", required = true, description = "The service whose traffic shifts")
    private String service;

    @Parameter(names = "--to", required = true, description = "The version that receives the traffic")
    private String to;

    @Parameter(
            names = "--deadline",
            required = true,
            description = "Time by which the move must be complete or rolled back: a duration from now such as 90s, 30m"
                    + " or 2h, or a time such as 2026-12-04T05:00:00Z")
    private String deadline;

    @Parameter(
            names = "--first-share",
            description = "Maximum traffic share of the new version, in percent, until the evidence about it suffices")
    private int firstShare = 1;

    @Parameter(names = "--id", description = "Name of the move; defaults to a name built from service and version")
    private String id;

    @ParametersDelegate
    private final ChangeOptions options = new ChangeOptions();

    @Override
    public ExitCode run(Console console) {
        Optional<Instant> deadlineTime = TimeParser.parseFuture(deadline, Instant.now());
        if (deadlineTime.isEmpty()) {
            console.printError("--deadline expects 90s, 30m, 2h or 2026-12-04T05:00:00Z, but got " + deadline + ".");
            return ExitCode.USAGE;
        }
        MoveDeclaration declaration = new MoveDeclaration(
                id == null ? null : new MoveId(id),
                new ServiceId(service),
                new VersionId(to),
                0,
                deadlineTime.get().toEpochMilli(),
                firstShare);
        return options.submit(console, "POST", "/v1/moves", declaration);
    }

    @Override
    public String example() {
        return "geraniumctl move declare --service board-model --to v2 --deadline 30m --first-share 1";
    }
}
