package org.geraniumstand.decisions.configuration;

import static org.geraniumstand.decisions.configuration.Documents.ALONE;
import static org.geraniumstand.decisions.configuration.Documents.paths;
import static org.geraniumstand.decisions.configuration.Documents.valid;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

import org.junit.jupiter.api.Test;

final class GenerationUntouchedTest {
    private final ConfigurationRule rule = new GenerationUntouched();

    @Test
    void acceptsGenerationInForce() {
        assertThat(paths(rule, valid(), Documents.after(valid())), empty());
    }

    @Test
    void acceptsAnyGenerationOfFirstDocument() {
        assertThat(paths(rule, valid(), ALONE), empty());
    }

    @Test
    void refusesOlderGeneration() {
        assertThat(paths(rule, valid(), Documents.after(valid().withGeneration(4))), contains("generation"));
    }
}
