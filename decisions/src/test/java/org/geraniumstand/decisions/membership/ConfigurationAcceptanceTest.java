package org.geraniumstand.decisions.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.geraniumstand.decisions.membership.ConfigurationAcceptance.Verdict;
import org.geraniumstand.decisions.membership.ConfigurationAcceptance.Version;
import org.junit.jupiter.api.Test;

final class ConfigurationAcceptanceTest {
    private static final Version IN_FORCE = new Version(5, 77, 1);

    @Test
    void appliesHigherGeneration() {
        assertThat(ConfigurationAcceptance.evaluate(IN_FORCE, new Version(6, 1, 1), 1), is(Verdict.APPLY));
        assertThat(ConfigurationAcceptance.evaluate(Version.ABSENT, new Version(1, 1, 0), 1), is(Verdict.APPLY));
    }

    @Test
    void ignoresLowerGeneration() {
        assertThat(ConfigurationAcceptance.evaluate(IN_FORCE, new Version(4, 77, 1), 1), is(Verdict.OLDER));
    }

    @Test
    void confirmsSameDocument() {
        assertThat(ConfigurationAcceptance.evaluate(IN_FORCE, IN_FORCE, 1), is(Verdict.SAME));
    }

    @Test
    void reportsConflictForDifferentDocumentOfSameGeneration() {
        assertThat(ConfigurationAcceptance.evaluate(IN_FORCE, new Version(5, 78, 1), 1), is(Verdict.CONFLICT));
    }

    @Test
    void rejectsDocumentThatRequiresHigherLevel() {
        assertThat(ConfigurationAcceptance.evaluate(IN_FORCE, new Version(6, 1, 2), 1), is(Verdict.LEVEL_TOO_HIGH));
        assertThat(ConfigurationAcceptance.evaluate(IN_FORCE, new Version(6, 1, 2), 2), is(Verdict.APPLY));
    }
}
