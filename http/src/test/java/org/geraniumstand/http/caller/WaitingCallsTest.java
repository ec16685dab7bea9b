package org.geraniumstand.http.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.geraniumstand.model.id.ServiceId;
import org.junit.jupiter.api.Test;

final class WaitingCallsTest {
    private final WaitingCalls calls = new WaitingCalls();
    private final WaitingCalls.Call holder = calls.add(new ServiceId("desk"));

    @Test
    void tellsACallWithAPlaceHowManyWaitForIt() {
        WaitingCalls.Call waiting = calls.add(new ServiceId("desk"));
        calls.add(new ServiceId("board"));
        assertThat("a call that waits itself", holder.waitingForPlace(), is(0));

        holder.onSent();
        assertThat(holder.waitingForPlace(), is(1));
        waiting.onSent();
        assertThat(holder.waitingForPlace(), is(0));
    }

    @Test
    void countsEachCallOnceHoweverItEnds() {
        holder.onSent();
        WaitingCalls.Call waiting = calls.add(new ServiceId("desk"));
        waiting.onEnded();
        waiting.onEnded();
        waiting.onSent();
        waiting.onEnded();
        calls.add(new ServiceId("desk"));

        assertThat(holder.waitingForPlace(), is(1));
        holder.onEnded();
        assertThat("a call without a place", holder.waitingForPlace(), is(0));
    }
}
