package org.geraniumstand.standins;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import org.junit.jupiter.api.Test;

final class StoreContentTest {
    private static final long NO_EXPIRY = 0;

    private final StoreContent content = new StoreContent();

    @Test
    void writesOnlyIfModifyIndexMatches() {
        assertThat(content.put("k", "a", Optional.of(0L)), is(true));
        long index = content.read("k", false).get(0).value().modifyIndex();
        assertThat(content.put("k", "b", Optional.of(0L)), is(false));
        assertThat(content.put("k", "b", Optional.of(index)), is(true));
    }

    @Test
    void refusesAcquiredKeyToOtherSessions() {
        String first = content.openSession(NO_EXPIRY, true);
        String second = content.openSession(NO_EXPIRY, true);
        assertThat(content.acquire("k", "a", first), is(true));
        assertThat(content.acquire("k", "b", second), is(false));
        content.closeSession(first);
        assertThat(content.read("k", false), is(empty()));
        assertThat(content.acquire("k", "b", second), is(true));
    }

    @Test
    void awaitReturnsAfterDeletion() throws InterruptedException {
        content.put("p/k", "a", Optional.empty());
        long index = content.snapshot("p/", true).index();
        content.delete("p/k", false, Optional.empty());
        assertThat(content.await("p/", true, index, 60_000).pairs(), is(empty()));
    }

    @Test
    void returnsFrozenContentToWatchesOnly() throws InterruptedException {
        content.put("k", "a", Optional.empty());
        content.freezeWatches(true);
        content.put("k2", "b", Optional.empty());
        assertThat(content.await("k", true, 1, 1).pairs(), hasSize(1));
        assertThat(content.read("k", true), hasSize(2));
    }
}
