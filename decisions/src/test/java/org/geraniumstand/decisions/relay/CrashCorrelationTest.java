package org.geraniumstand.decisions.relay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.geraniumstand.model.id.ServerId;
import org.geraniumstand.model.relay.ServicePart;
import org.junit.jupiter.api.Test;

final class CrashCorrelationTest {
    private static final long ANSWERED = 500;
    private static final long NOW = 10_000;

    private final List<CrashRecord> records = new ArrayList<>();
    private final SoundParts sound = new SoundParts();
    private final Set<Set<ServicePart>> known = new HashSet<>();

    private static ServicePart part(long id) {
        return new ServicePart(Calls.ENGINE_SERVICE, id);
    }

    private void crash(String server, long request, long atMillis, long... parts) {
        records.add(new CrashRecord(
                new ServerId(server),
                request,
                Arrays.stream(parts).mapToObj(CrashCorrelationTest::part).toList(),
                atMillis * Calls.MILLI));
    }

    private List<CrashCorrelation.Finding> find(long answered) {
        return CrashCorrelation.find(records, sound, known, answered, NOW * Calls.MILLI);
    }

    private void crashFourServers(long... parts) {
        for (int i = 0; i < 4; i++) {
            crash("s" + i, i, 1_000 + 1_000L * i, parts);
        }
    }

    @Test
    void findsPartOfFourCrashes() {
        crashFourServers(7);

        assertThat(find(ANSWERED).get(0).parts(), containsInAnyOrder(part(7)));
    }

    @Test
    void needsFourCrashes() {
        crashFourServers(7);
        records.remove(0);

        assertThat(find(ANSWERED), empty());
    }

    @Test
    void blamesAllPartsThatAlwaysOccurTogether() {
        crashFourServers(7, 8);

        assertThat(find(ANSWERED).get(0).parts(), containsInAnyOrder(part(7), part(8)));
    }

    @Test
    void omitsPartThatIsSound() {
        crashFourServers(7, 8);
        sound.onSound(part(8), 5_000 * Calls.MILLI);

        assertThat(find(ANSWERED).get(0).parts(), containsInAnyOrder(part(7)));
    }

    @Test
    void ignoresAnswersThatBeganBeforeTheCrashes() {
        crashFourServers(7);
        sound.onSound(part(7), 900 * Calls.MILLI);

        assertThat(find(ANSWERED), hasSize(1));
    }

    @Test
    void countsCrashesOfOneMomentOnce() {
        for (int i = 0; i < 8; i++) {
            crash("s" + i, i, 1_000 + 10L * i, 7);
        }

        assertThat(find(ANSWERED), empty());
    }

    @Test
    void countsCrashesOfOneServerOnce() {
        for (int i = 0; i < 8; i++) {
            crash("s", i, 1_000 + 1_000L * i, 7);
        }

        assertThat(find(ANSWERED), empty());
    }

    @Test
    void countsOneRequestTwiceAtMost() {
        for (int i = 0; i < 8; i++) {
            crash("s" + i, 1, 1_000 + 1_000L * i, 7);
        }

        assertThat(find(ANSWERED), empty());
    }

    @Test
    void blamesNoPartThatOnlyRunsBesideTheCause() {
        crashFourServers(7);
        crash("s4", 4, 5_000, 7);
        for (int i = 0; i < 4; i++) {
            crash("s" + i, 100L + i, 1_000 + 1_000L * i, 9);
        }

        assertThat(find(ANSWERED), hasSize(1));
    }

    @Test
    void findsTwoParts() {
        crashFourServers(7);
        for (int i = 0; i < 4; i++) {
            crash("t" + i, 100L + i, 1_500 + 1_000L * i, 9);
        }

        assertThat(find(ANSWERED), hasSize(2));
    }

    @Test
    void needsMoreCrashesWhileManyAnswersBreak() {
        crashFourServers(7);
        for (int i = 0; i < 100; i++) {
            crash("u" + i, 1_000L + i, 1_000 + 80L * i, 1_000L + i);
        }

        assertThat(find(ANSWERED), empty());
    }

    @Test
    void blamesNothingWhileNoRequestIsAnswered() {
        crashFourServers(7);

        assertThat(find(0), empty());
    }

    @Test
    void waitsForReportsOfSoundAnswers() {
        for (int i = 0; i < 4; i++) {
            crash("s" + i, i, NOW - 1_000 + 250L * i, 7);
        }

        assertThat(find(ANSWERED), empty());
    }

    /** A sound request with the first part of the prompts breaks beside a request that crashes the server. */
    @Test
    void blamesNoPartOfASoundRequestThatBreaksBesideTheCause() {
        crashFourServers(1, 2, 3);
        crash("s3", 100, 4_000, 1, 9);

        assertThat(find(ANSWERED).get(0).parts(), containsInAnyOrder(part(1), part(2), part(3)));
    }

    /** A server crashes for another reason under a sound request with the first part of the prompts. */
    @Test
    void blamesNoPartOfASoundRequestThatBreaksInAnotherCrash() {
        crashFourServers(1, 2, 3);
        crash("t", 100, 6_000, 1, 9);

        assertThat(find(ANSWERED).get(0).parts(), containsInAnyOrder(part(1), part(2), part(3)));
    }

    @Test
    void keepsASetAfterOneCrashWithAPartOfIt() {
        crashFourServers(1, 2);
        crash("t", 100, 6_000, 2, 9);
        known.add(Set.of(part(1), part(2)));

        assertThat(find(ANSWERED), empty());
    }

    @Test
    void reducesASetAfterTwoCrashesWithAPartOfIt() {
        crashFourServers(1, 2);
        crash("t", 100, 6_000, 2, 9);
        crash("u", 100, 6_500, 2, 9);
        known.add(Set.of(part(1), part(2)));

        assertThat(find(ANSWERED).get(0).parts(), containsInAnyOrder(part(2)));
    }

    @Test
    void findsNothingInCrashesThatAKnownSetExplains() {
        crashFourServers(1, 2);
        known.add(Set.of(part(2)));

        assertThat(find(ANSWERED), empty());
    }
}
