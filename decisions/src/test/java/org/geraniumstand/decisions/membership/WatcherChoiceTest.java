package org.geraniumstand.decisions.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.geraniumstand.model.member.Member;
import org.junit.jupiter.api.Test;

final class WatcherChoiceTest {
    @Test
    void fiveMembersOfLargeGroupWatch() {
        assertThat(watchers(Members.many(330)).size(), is(WatcherChoice.WATCHERS));
    }

    @Test
    void singleMemberWatches() {
        assertThat(watchers(Members.many(1)).size(), is(1));
    }

    @Test
    void removedWatcherIsReplacedAndOthersStay() {
        List<Member> members = new ArrayList<>(Members.many(30));
        List<Member> before = watchers(members);
        members.remove(before.get(0));
        List<Member> after = watchers(members);
        assertThat(after.size(), is(WatcherChoice.WATCHERS));
        assertThat(after.containsAll(before.subList(1, before.size())), is(true));
    }

    private static List<Member> watchers(List<Member> members) {
        return members.stream()
                .filter(member -> WatcherChoice.watches(member.id(), members))
                .toList();
    }
}
