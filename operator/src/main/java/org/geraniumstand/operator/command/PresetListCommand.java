package org.geraniumstand.operator.command;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.geraniumstand.model.config.Preset;
import org.geraniumstand.model.operation.PresetList;
import org.geraniumstand.operator.Command;
import org.geraniumstand.operator.Console;
import org.geraniumstand.operator.ExitCode;
import org.geraniumstand.operator.client.ConnectionOptions;

/** Lists the presets. */
@Parameters(commandDescription = "List the presets; an asterisk marks the active one")
public final class PresetListCommand implements Command {
    @ParametersDelegate
    private final ConnectionOptions connection = new ConnectionOptions();

    @Override
    public ExitCode run(Console console) {
        return connection.withClient(
                console,
                client -> client.get("/v1/presets", PresetList.class)
                        .fold(
                                list -> {
                                    list.presets().forEach(preset -> console.print(format(list, preset)));
                                    return ExitCode.DONE;
                                },
                                error -> error.report(console)));
    }

    @Override
    public String example() {
        return "geraniumctl preset list";
    }

    private static String format(PresetList list, Preset preset) {
        String marker = preset.id().equals(list.inForce()) ? "* " : "  ";
        return marker + preset.id() + "  first token " + preset.firstTokenMillis() + " ms, between tokens "
                + preset.betweenTokensMillis() + " ms, on-demand floor " + preset.onDemandFloor() + ", spare servers "
                + preset.spareServers() + ", retries " + preset.retryPercent() + " %";
    }
}
