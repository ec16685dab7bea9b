package org.geraniumstand.http.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

final class MemoryAccountTest {
    private final MemoryAccount account = new MemoryAccount(new CallerMemory(1_000, 10));

    @Test
    void refusesWhatFindsNoRoomUntilOthersReturnTheirs() {
        MemoryAccount.Holding first = account.open();
        MemoryAccount.Holding second = account.open();

        assertThat(first.grow(600), is(true));
        assertThat(second.grow(600), is(false));
        first.release();
        assertThat(second.grow(600), is(true));
        assertThat(account.totalBytes(), is(600L));
    }

    @Test
    void returnsAHoldingOnce() {
        MemoryAccount.Holding holding = account.open();
        holding.grow(600);
        holding.release();
        holding.release();

        assertThat(account.totalBytes(), is(0L));
        assertThat("a released holding does not grow", holding.grow(1), is(false));
    }

    @Test
    void chargesWhatCannotBeRefusedBeyondTheLimits() {
        MemoryAccount.Holding holding = account.open();

        assertThat(holding.charge(500), is(true));
        assertThat(holding.charge(600), is(false));
        assertThat(account.totalBytes(), is(1_100L));
        assertThat(account.refusals(), is(1L));
        assertThat(account.open().grow(1), is(false));
        holding.release();
        assertThat(account.totalBytes(), is(0L));
    }

    @Test
    void returnsPartsOnlyUntilTheHoldingIsReleased() {
        MemoryAccount.Holding holding = account.open();
        holding.charge(600);
        holding.shrink(200);
        assertThat(account.totalBytes(), is(400L));

        holding.release();
        holding.shrink(400);
        holding.charge(50);
        assertThat(account.totalBytes(), is(0L));
    }

    @Test
    void aClearedHoldingGrowsAgain() {
        MemoryAccount.Holding holding = account.open();
        holding.grow(600);
        holding.clear();

        assertThat(holding.grow(700), is(true));
        assertThat(account.totalBytes(), is(700L));
    }
}
