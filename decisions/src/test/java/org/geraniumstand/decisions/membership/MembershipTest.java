package org.geraniumstand.decisions.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.member.Member;
import org.geraniumstand.model.member.MemberState;
import org.geraniumstand.model.member.MemberUpdate;
import org.junit.jupiter.api.Test;

final class MembershipTest {
    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
    private static final Member SELF = Members.of("a");
    private static final Member PEER = Members.of("b");

    private final Membership membership = new Membership(SELF, 0);
    private long now;

    @Test
    void neighbourWithRecentContactStaysAlive() {
        addNeighbour();
        for (int i = 0; i < 100; i++) {
            membership.onContact(PEER.id(), now);
            assertThat(tick(1), is(empty()));
        }
        assertThat(membership.alive(), contains(SELF, PEER));
    }

    @Test
    void unresponsiveNeighbourIsSuspectedThenDropped() {
        addNeighbour();
        List<MemberUpdate> suspicions = tick(26);
        assertThat(suspicions, contains(new MemberUpdate(PEER, 0, MemberState.SUSPECT)));
        assertThat(membership.alive(), contains(SELF, PEER));
        tick(16);
        assertThat(membership.alive(), contains(SELF));
        assertThat(membership.dropped(), contains(PEER));
    }

    @Test
    void memberThatRefutesSuspicionStaysAlive() {
        addNeighbour();
        tick(26);
        MemberUpdate refutation = new MemberUpdate(PEER, 1, MemberState.ALIVE);
        assertThat(membership.onUpdates(List.of(refutation), now).broadcasts(), contains(refutation));
        tick(16);
        assertThat(membership.alive(), contains(SELF, PEER));
    }

    @Test
    void memberThatIsNotANeighbourStaysAliveWithoutContact() {
        membership.onUpdates(List.of(new MemberUpdate(PEER, 0, MemberState.ALIVE)), now);
        tick(1_000);
        assertThat(membership.alive(), contains(SELF, PEER));
    }

    @Test
    void droppedMemberRejoinsOnlyWithNewerUpdate() {
        addNeighbour();
        tick(50);
        MemberUpdate old = new MemberUpdate(PEER, 0, MemberState.ALIVE);
        assertThat(
                membership.onUpdates(List.of(old), now).corrections(),
                contains(new MemberUpdate(PEER, 0, MemberState.SUSPECT)));
        assertThat(
                membership.onContact(PEER.id(), now), is(Optional.of(new MemberUpdate(PEER, 0, MemberState.SUSPECT))));
        assertThat(membership.alive(), contains(SELF));
        membership.onUpdates(List.of(new MemberUpdate(PEER, 1, MemberState.ALIVE)), now);
        assertThat(membership.alive(), contains(SELF, PEER));
    }

    @Test
    void refutesSuspicionOfThisProcess() {
        MemberUpdate suspicion = new MemberUpdate(SELF, 3, MemberState.SUSPECT);
        assertThat(
                membership.onUpdates(List.of(suspicion), now).broadcasts(),
                contains(new MemberUpdate(SELF, 4, MemberState.ALIVE)));
    }

    @Test
    void memberThatLeftNeverRejoins() {
        addNeighbour();
        membership.onUpdates(List.of(new MemberUpdate(PEER, 0, MemberState.LEFT)), now);
        assertThat(membership.alive(), contains(SELF));
        membership.onUpdates(List.of(new MemberUpdate(PEER, 9, MemberState.ALIVE)), now);
        assertThat(membership.alive(), contains(SELF));
        assertThat(membership.dropped(), is(empty()));
    }

    @Test
    void laterIncarnationReplacesEarlierOne() {
        Member first = Members.of(Incarnation.name("host-1", 1_700_000_000_000L).value());
        Member second =
                Members.of(Incarnation.name("host-1", 1_700_000_009_000L).value());
        membership.onUpdates(List.of(new MemberUpdate(first, 5, MemberState.ALIVE)), now);
        membership.onUpdates(List.of(new MemberUpdate(second, 0, MemberState.ALIVE)), now);
        assertThat(membership.alive(), contains(SELF, second));
        membership.onUpdates(List.of(new MemberUpdate(first, 6, MemberState.ALIVE)), now);
        assertThat(membership.alive(), contains(SELF, second));
    }

    @Test
    void pauseOfThisProcessSuspectsNoMember() {
        addNeighbour();
        tick(1);
        now += TimeUnit.SECONDS.toNanos(60);
        assertThat(membership.onTick(now), is(empty()));
        assertThat(membership.alive(), hasSize(2));
    }

    @Test
    void namesWithoutStartTimeAreDistinctMembers() {
        membership.onUpdates(List.of(new MemberUpdate(Members.of("node-1"), 0, MemberState.ALIVE)), now);
        membership.onUpdates(List.of(new MemberUpdate(Members.of("node-2"), 0, MemberState.ALIVE)), now);
        assertThat(membership.alive(), hasSize(3));
    }

    @Test
    void equalViewsHaveEqualDigests() {
        Membership other = new Membership(PEER, 0);
        other.onUpdates(List.of(new MemberUpdate(SELF, 0, MemberState.ALIVE)), now);
        assertThat(other.digest() == membership.digest(), is(false));
        addNeighbour();
        assertThat(other.digest() == membership.digest(), is(true));
    }

    private void addNeighbour() {
        membership.onUpdates(List.of(new MemberUpdate(PEER, 0, MemberState.ALIVE)), now);
        Set<ProcessId> neighbours = Set.of(PEER.id());
        membership.setNeighbours(neighbours, now);
    }

    private List<MemberUpdate> tick(int ticks) {
        List<MemberUpdate> suspicions = new ArrayList<>();
        for (int i = 0; i < ticks; i++) {
            now += TICK_NANOS;
            suspicions.addAll(membership.onTick(now));
        }
        return suspicions;
    }
}
