package org.geraniumstand.entry;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class GeraniumstandTest {
    private static final String VALID = String.join(
            "\n",
            "process:",
            "  name: entry-1",
            "  dataCentre: west-1",
            "callers:",
            "  host: 127.0.0.1",
            "  port: 0",
            "operators:",
            "  host: 127.0.0.1",
            "  port: 0",
            "  token: sixteen-letters-or-more",
            "peers:",
            "  host: 127.0.0.1",
            "  port: 0",
            "  sharedKey: sixteen-letters-or-more",
            "store:",
            "  url: http://127.0.0.1:8500",
            "cloud:",
            "  url: http://127.0.0.1:8600",
            "");

    @TempDir
    private Path directory;

    private record End(int code, String output) {}

    @Test
    void checksSettingsOnceTheLogIsSetUp() throws Exception {
        End end = check(VALID);

        assertThat(end.output(), containsString("the settings are valid"));
        assertThat(end.code(), is(0));
    }

    @Test
    void refusesBadSettingsByLineAndEntry() throws Exception {
        End end = check(VALID.replace("dataCentre: west-1", "dataCentre: 'West 1'"));

        assertThat(end.output(), containsString("process.dataCentre"));
        assertThat(end.code(), is(2));
    }

    private End check(String settings) throws IOException, InterruptedException {
        Path file = directory.resolve("entry.yaml");
        Files.writeString(file, settings);
        Process child = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        Geraniumstand.class.getName(),
                        "--settings",
                        file.toString(),
                        "--check")
                .redirectErrorStream(true)
                .start();
        String output = new String(child.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        return new End(child.waitFor(), output);
    }
}
