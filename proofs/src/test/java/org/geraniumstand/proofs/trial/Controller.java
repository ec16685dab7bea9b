package org.geraniumstand.proofs.trial;

import java.util.List;
import org.geraniumstand.decisions.Action;
import org.geraniumstand.decisions.Observation;
import org.geraniumstand.model.time.Timestamp;

/** Makes the decisions of one process; the product and the baseline receive the same observations. */
@FunctionalInterface
public interface Controller {
    /**
     * Handles an observation and returns the actions to execute.
     *
     * @param observation event that the process observed
     * @param now time of the observation
     */
    List<Action> handle(Observation observation, Timestamp now);
}
