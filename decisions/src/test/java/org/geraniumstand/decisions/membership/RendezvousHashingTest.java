package org.geraniumstand.decisions.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

final class RendezvousHashingTest {
    private static final int KEYS = 400;

    @Property(tries = 100, seed = "7")
    void removingCandidateRemapsOnlyItsKeys(
            @ForAll @IntRange(min = 2, max = 40) int count, @ForAll @IntRange(max = 39) int index) {
        List<String> before = names(count);
        String removed = before.get(index % count);
        List<String> after = new ArrayList<>(before);
        after.remove(removed);
        for (int i = 0; i < KEYS; i++) {
            String chosen = first("key-" + i, before);
            if (!chosen.equals(removed)) {
                assertThat(first("key-" + i, after), equalTo(chosen));
            }
        }
    }

    @Property(tries = 50, seed = "8")
    void resultIsIndependentOfCandidateOrder(@ForAll @IntRange(min = 1, max = 40) int count) {
        List<String> names = names(count);
        List<String> reversed = new ArrayList<>(names);
        Collections.reverse(reversed);
        assertThat(
                RendezvousHashing.top("key", reversed, Function.identity(), 3),
                is(RendezvousHashing.top("key", names, Function.identity(), 3)));
    }

    @Test
    void keysAreEvenlyDistributed() {
        Map<String, Integer> shares = new HashMap<>();
        for (int i = 0; i < 100 * KEYS; i++) {
            shares.merge(first("key-" + i, names(40)), 1, Integer::sum);
        }
        // The expected value is 1000 for each, with a standard deviation of about 31.
        shares.values().forEach(share -> {
            assertThat(share, greaterThan(800));
            assertThat(share, lessThan(1_200));
        });
    }

    @Test
    void emptyCandidatesYieldNoChoice() {
        assertThat(RendezvousHashing.first("key", List.<String>of(), Function.identity()), is(Optional.empty()));
    }

    private static String first(String key, List<String> names) {
        return RendezvousHashing.first(key, names, Function.identity()).orElseThrow();
    }

    private static List<String> names(int count) {
        return IntStream.range(0, count).mapToObj(i -> "process-" + i).toList();
    }
}
