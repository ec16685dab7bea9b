package org.geraniumstand.entry.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.geraniumstand.entry.settings.RelaySettings;
import org.geraniumstand.entry.settings.RelaySettingsFile;
import org.geraniumstand.entry.settings.SettingsError;
import org.geraniumstand.model.result.Result;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class RelaySettingsTest {
    @TempDir
    private Path folder;

    /** Returns the deployed settings template with its placeholders replaced as the platform does it. */
    private static String renderedTemplate() throws IOException {
        return Files.readString(Path.of("../deploy/settings.yaml"))
                .replace("{{#seedNodes}}\"{{.}}\"{{,}}{{/seedNodes}}", "\"10.1.0.14:8229\"")
                .replace("{{nodeName}}", "edge-a-1")
                .replace("{{zone}}", "a")
                .replaceAll("\\{\\{listen\\.[a-zA-Z]+}}", "10.1.0.14:8221")
                .replace("{{ip}}", "10.1.0.14")
                .replace("{{internalPortRange.0}}", "7600")
                .replaceAll("\\{\\{(platform|cloudApi)\\.address}}", "10.200.0.35:8225")
                .replace("{{bounds.drainMs}}", "2000")
                .replace("{{bounds.contactMs}}", "4000")
                .replace("{{bounds.leaseMs}}", "3000")
                .replaceAll("\\{\\{bounds\\.[a-zA-Z]+}}", "0.2");
    }

    private Result<RelaySettings, SettingsError> read(String text) throws IOException {
        Path file = folder.resolve("settings.yaml");
        Files.writeString(file, text);
        return RelaySettingsFile.read(file);
    }

    @Test
    void parsesTheDeployedTemplate() throws IOException {
        RelaySettings settings = read(renderedTemplate()).value().orElseThrow();

        assertThat(settings.callers().getPort(), is(8_221));
        assertThat(settings.seeds().size(), is(1));
        assertThat(settings.bounds().drainMillis(), is(2_000));
        assertThat(settings.bounds().contactMillis(), is(4_000));
        assertThat(settings.bounds().leaseMillis(), is(3_000));
    }

    @Test
    void reportsTheSettingAndTheLineOfAnInvalidValue() throws IOException {
        SettingsError error = read(renderedTemplate().replace("leaseMillis: 3000", "leaseMillis: soon"))
                .error()
                .orElseThrow();

        assertThat(error.text(), containsString("bounds.leaseMillis"));
        assertThat(error.text(), containsString("settings.yaml:"));
    }
}
