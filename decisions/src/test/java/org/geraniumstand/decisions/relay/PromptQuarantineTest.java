package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Stream;
import org.geraniumstand.model.relay.QuarantinedPrompt;
import org.geraniumstand.model.relay.ServicePart;
import org.junit.jupiter.api.Test;

final class PromptQuarantineTest {
    private static final long CRASH = 1_000;
    private static final int MAX_ENTRIES = 16;

    private final PromptQuarantine quarantine = new PromptQuarantine(new Random(1));
    private final SoundParts sound = new SoundParts();

    private static List<ServicePart> parts(long... ids) {
        return Arrays.stream(ids)
                .mapToObj(id -> new ServicePart(Calls.ENGINE_SERVICE, id))
                .toList();
    }

    private static long at(long millis) {
        return millis * Calls.MILLI;
    }

    private boolean add(long... ids) {
        return quarantine.add(parts(ids), at(CRASH), 1, at(2_000));
    }

    private boolean isBlocked(long atMillis, long... ids) {
        return quarantine.blockedMillis(Set.copyOf(parts(ids)), at(atMillis)).isPresent();
    }

    @Test
    void blocksPromptsWithAllParts() {
        add(7, 8);

        assertThat(isBlocked(3_000, 1, 8, 7), is(true));
        assertThat(isBlocked(3_000, 7), is(false));
        assertThat(isBlocked(3_000, 8, 9), is(false));
    }

    @Test
    void keepsOtherServicesApart() {
        add(7);

        Set<ServicePart> other = Set.of(new ServicePart(Calls.PLAIN_SERVICE, 7));
        assertThat(quarantine.blockedMillis(other, at(3_000)).isPresent(), is(false));
    }

    @Test
    void replacesSetsThatContainASmallerOne() {
        add(7, 8);
        add(7);

        assertThat(quarantine.size(), is(1));
        assertThat(add(7, 9), is(false));
    }

    @Test
    void sendsOneTrialAndWaitsLongerAfterwards() {
        add(7);

        assertThat(isBlocked(21_900, 7), is(true));
        assertThat(isBlocked(22_500, 7), is(false));
        quarantine.onSent(Set.copyOf(parts(7)), at(22_500));
        assertThat(isBlocked(62_400, 7), is(true));
        assertThat(isBlocked(63_000, 7), is(false));
    }

    @Test
    void appliesTrialOfAnotherProcess() {
        add(7);
        PromptQuarantine other = new PromptQuarantine(new Random(2));
        quarantine.report(at(2_000)).forEach(prompt -> other.addRemote(prompt, 1, at(2_000)));
        quarantine.onSent(Set.copyOf(parts(7)), at(22_500));
        quarantine.report(at(22_500)).forEach(prompt -> other.addRemote(prompt, 1, at(22_500)));

        assertThat(other.blockedMillis(Set.copyOf(parts(7)), at(60_000)).isPresent(), is(true));
    }

    @Test
    void ignoresOldNumberOfTrials() {
        add(7);
        List<QuarantinedPrompt> before = quarantine.report(at(2_000));
        quarantine.onSent(Set.copyOf(parts(7)), at(22_500));
        before.forEach(prompt -> quarantine.addRemote(prompt, 1, at(22_600)));

        assertThat(isBlocked(60_000, 7), is(true));
    }

    @Test
    void endsWithASoundAnswer() {
        add(7);
        sound.onSound(parts(7).get(0), at(CRASH + 1));

        assertThat(quarantine.expire(sound, at(3_000)), contains(parts(7)));
        assertThat(isBlocked(3_000, 7), is(false));
    }

    @Test
    void lastsWhenAnAnswerBeganBeforeTheCrash() {
        add(7);
        sound.onSound(parts(7).get(0), at(CRASH - 1));

        assertThat(quarantine.expire(sound, at(3_000)), empty());
    }

    @Test
    void shrinksToThePartsThatAreNotSound() {
        add(7, 8);
        sound.onSound(parts(8).get(0), at(CRASH + 1));
        quarantine.expire(sound, at(3_000));

        assertThat(isBlocked(3_000, 7), is(true));
    }

    @Test
    void endsWhenNobodyUsesThePart() {
        add(7);

        assertThat(quarantine.expire(sound, at(600_000)), empty());
        assertThat(quarantine.expire(sound, at(630_000)), contains(parts(7)));
    }

    @Test
    void boundsTheNumberOfEntries() {
        Stream.iterate(1L, id -> id + 1).limit(100).forEach(this::add);

        assertThat(quarantine.size(), lessThanOrEqualTo(MAX_ENTRIES));
        assertThat(quarantine.size(), greaterThan(0));
    }
}
