package org.geraniumstand.operator.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import org.geraniumstand.model.id.PresetId;
import org.geraniumstand.model.operation.PresetSwitch;
import org.geraniumstand.operator.Command;
import org.geraniumstand.operator.Console;
import org.geraniumstand.operator.ExitCode;

/** Activates a preset. */
@Parameters(commandDescription = "Activate a preset")
public final class PresetSwitchCommand implements Command {
    @Parameter(description = "PRESET", required = true)
    private String preset;

    @ParametersDelegate
    private final ChangeOptions options = new ChangeOptions();

    @Override
    public ExitCode run(Console console) {
        return options.submit(console, "PUT", "/v1/presets/in-force", new PresetSwitch(new PresetId(preset)));
    }

    @Override
    public String example() {
        return "geraniumctl preset switch peak --wait 10";
    }
}
