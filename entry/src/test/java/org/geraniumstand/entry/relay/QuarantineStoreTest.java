package org.geraniumstand.entry.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.relay.QuarantinedPrompt;
import org.geraniumstand.model.relay.ServicePart;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class QuarantineStoreTest {
    private static final QuarantinedPrompt PROMPT = new QuarantinedPrompt(
            List.of(new ServicePart(new ServiceId("board-model"), -0x57dc7b54a0edL)), 1_000, 19_000, 1);
    private static final long RETRY_MILLIS = 700;

    private final FakeRevisionStore store = new FakeRevisionStore();
    private final ManualTimer timer = new ManualTimer();
    private final List<QuarantinedPrompt> received = new ArrayList<>();
    private long epochMillis = 1_000_000;
    private final QuarantineStore quarantine = newProcess();

    private QuarantineStore newProcess() {
        return new QuarantineStore(store, timer, () -> epochMillis);
    }

    private void read(QuarantineStore process) {
        process.read(received::addAll);
    }

    /** All processes are killed, and those that start know no crash. */
    @Test
    void outlastsARestartOfAllProcesses() {
        read(quarantine);
        quarantine.write(List.of(PROMPT));
        epochMillis += 5_000;
        read(newProcess());

        assertThat(received, is(List.of(new QuarantinedPrompt(PROMPT.parts(), 6_000, 14_000, 1))));
    }

    @Test
    void writesOnlyChanges() {
        read(quarantine);
        quarantine.write(List.of(PROMPT));
        store.write(QuarantineStore.KEY, "other");
        epochMillis += 1_000;
        quarantine.write(List.of(new QuarantinedPrompt(PROMPT.parts(), 2_000, 18_000, 1)));

        assertThat(store.value(QuarantineStore.KEY), is(Optional.of("other")));
    }

    @Test
    void writesAgainWhatARestoredStoreLost() {
        store.era().onReported(1);
        read(quarantine);
        quarantine.write(List.of(PROMPT));
        store.restore(2, 50, Map.of());
        quarantine.write(List.of(PROMPT));

        assertThat(store.value(QuarantineStore.KEY).isPresent(), is(true));
    }

    @Test
    void writesNothingBeforeItHasRead() {
        quarantine.write(List.of(PROMPT));

        assertThat(store.value(QuarantineStore.KEY), is(Optional.empty()));
    }

    @Test
    void removesPromptsThatAreSoundAgain() {
        read(quarantine);
        quarantine.write(List.of(PROMPT));
        quarantine.write(List.of());
        read(newProcess());

        assertThat(received, empty());
    }

    @Test
    void readsOnceTheStoreIsBack() {
        read(quarantine);
        quarantine.write(List.of(PROMPT));
        store.setUnavailable(true);
        read(newProcess());
        store.setUnavailable(false);
        assertThat(received, empty());
        timer.run(RETRY_MILLIS);

        assertThat(received.size(), is(1));
    }

    @Test
    void writesOnceTheStoreIsBack() {
        read(quarantine);
        store.setUnavailable(true);
        quarantine.write(List.of(PROMPT));
        store.setUnavailable(false);
        timer.run(RETRY_MILLIS);
        quarantine.write(List.of(PROMPT));

        assertThat(store.value(QuarantineStore.KEY).isPresent(), is(true));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "[]",
                "{",
                "{\"prompts\":7}",
                "{\"prompts\":[{}]}",
                "{\"prompts\":[{\"crashEpochMillis\":1e400,\"trialEpochMillis\":1,\"trials\":1,\"parts\":[]}]}",
                "{\"prompts\":[{\"crashEpochMillis\":1,\"trialEpochMillis\":1,\"trials\":1,\"parts\":[{}]}]}"
            })
    void ignoresADocumentOfAnotherWriter(String text) {
        store.write(QuarantineStore.KEY, text);
        read(quarantine);
        assertThat(received, empty());
        quarantine.write(List.of(PROMPT));
        read(newProcess());

        assertThat(received.size(), is(1));
    }
}
