package org.geraniumstand.proofs.trial;

import java.util.List;
import org.geraniumstand.decisions.Action;
import org.geraniumstand.decisions.Observation;
import org.geraniumstand.model.time.Timestamp;

/** Decides for one process; the product's decisions and the baseline are driven alike. */
@FunctionalInterface
public interface Controller {
    /**
     * Takes in an observation and returns what is to be done.
     *
     * @param observation what was seen
     * @param now when it was seen
     */
    List<Action> on(Observation observation, Timestamp now);
}
