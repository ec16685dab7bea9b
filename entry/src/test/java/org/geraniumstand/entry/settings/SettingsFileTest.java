package org.geraniumstand.entry.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.geraniumstand.model.result.Result;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

final class SettingsFileTest {
    private static final String TOKEN = "a-token-of-operators";
    private static final String VALID = """
            process:
              name: entry-1
              dataCentre: west-1
            callers:
              host: 127.0.0.1
              port: 8080
            operators:
              host: 127.0.0.1
              port: 9101
              token: a-token-of-operators
            peers:
              host: 127.0.0.1
              port: 9201
              sharedKey: a-key-of-all-processes
              seeds: ["127.0.0.1:9202"]
            store:
              url: http://127.0.0.1:8500
            cloud:
              url: http://127.0.0.1:8600
            """;

    @TempDir
    private Path folder;

    @Test
    void readsValidFileAndAppliesDefaults() throws IOException {
        Settings settings = read(VALID).value().orElseThrow();

        assertThat(settings.operators().token(), is(TOKEN));
        assertThat(settings.callers().ioThreads(), is(2));
        assertThat(settings.store().prefix(), is("geraniumstand"));
        assertThat(settings.peers().seeds(), contains("127.0.0.1:9202"));
    }

    @Test
    void reportsUnknownEntryWithLineAndAllowedEntries() throws IOException {
        assertThat(
                problems(VALID.replace("  port: 8080", "  prot: 8080")),
                hasItem(allOf(containsString("settings.yaml:6: callers.prot"), containsString("callers.port"))));
    }

    @Test
    void rejectsHostNameAndPortOutOfRange() throws IOException {
        String wrong = VALID.replace("host: 127.0.0.1\n  port: 8080", "host: localhost\n  port: 65536");

        assertThat(
                problems(wrong),
                contains(
                        allOf(containsString(":5: callers.host"), containsString("IPv4 number")),
                        allOf(containsString(":6: callers.port"), containsString("1 to 65535"))));
    }

    @Test
    void rejectsHostNameInUrlAndSeeds() throws IOException {
        String wrong =
                VALID.replace("http://127.0.0.1:8500", "http://store:8500").replace("127.0.0.1:9202", "peer:9202");

        assertThat(problems(wrong).size(), is(2));
    }

    @Test
    void reportsMissingEntry() throws IOException {
        assertThat(
                problems(VALID.replace("  dataCentre: west-1\n", "")),
                contains(containsString("process.dataCentre is missing")));
    }

    @Test
    void rejectsShortTokenWithoutPrintingIt() throws IOException {
        List<String> problems = problems(VALID.replace(TOKEN, "short-secret"));

        assertThat(problems, contains(containsString("at least 16 characters")));
        assertThat(problems, not(hasItem(containsString("short-secret"))));
    }

    @Test
    void rejectsDuplicateEntry() throws IOException {
        assertThat(
                problems(VALID.replace("  port: 8080", "  port: 8080\n  port: 8081")),
                hasItem(containsString("callers.port")));
    }

    @Test
    void readsTokenFromFile() throws IOException {
        Path secret = Files.writeString(folder.resolve("token"), "a-token-from-a-file\n");

        Settings settings = read(VALID.replace("token: " + TOKEN, "tokenFile: " + secret))
                .value()
                .orElseThrow();

        assertThat(settings.operators().token(), is("a-token-from-a-file"));
    }

    @Test
    void rejectsTokenTogetherWithTokenFile() throws IOException {
        assertThat(
                problems(VALID.replace("  token:", "  tokenFile: x\n  token:")),
                contains(containsString("exactly one of operators.token and operators.tokenFile")));
    }

    @Test
    void rejectsTextThatIsNotYaml() throws IOException {
        assertThat(problems("process: [unclosed"), hasItem(endsWith("this is not YAML")));
    }

    @Test
    void rejectsMissingFile() {
        assertThat(
                SettingsFile.read(folder.resolve("none.yaml"))
                        .error()
                        .orElseThrow()
                        .text(),
                containsString("cannot be read"));
    }

    private Result<Settings, SettingsError> read(String text) throws IOException {
        return SettingsFile.read(Files.writeString(folder.resolve("settings.yaml"), text));
    }

    private List<String> problems(String text) throws IOException {
        return read(text).error().orElseThrow().problems();
    }
}
