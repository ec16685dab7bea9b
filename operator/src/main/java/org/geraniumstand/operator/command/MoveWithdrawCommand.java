package org.geraniumstand.operator.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.geraniumstand.operator.Command;
import org.geraniumstand.operator.Console;
import org.geraniumstand.operator.ExitCode;

/** Withdraws a version move. */
@Parameters(commandDescription = "Withdraw a version move; all traffic returns to the old version")
public final class MoveWithdrawCommand implements Command {
    @Parameter(description = "MOVE", required = true)
    private String move;

    @ParametersDelegate
    private final ChangeOptions options = new ChangeOptions();

    @Override
    public ExitCode run(Console console) {
        return options.submit(console, "POST", "/v1/moves/" + UrlPaths.encodeSegment(move) + "/withdraw", null);
    }

    @Override
    public String example() {
        return "geraniumctl move withdraw board-model-to-v2";
    }
}
