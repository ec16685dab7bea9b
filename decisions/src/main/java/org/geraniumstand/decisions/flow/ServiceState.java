package org.geraniumstand.decisions.flow;

import org.geraniumstand.decisions.admission.FairQueue;
import org.geraniumstand.decisions.admission.WaitEstimator;
import org.geraniumstand.decisions.retry.IdleTimeouts;
import org.geraniumstand.decisions.retry.RetryBudget;

/** Holds the queue, wait estimate, retry budget and idle timeouts of one service in a process. */
record ServiceState(FairQueue queue, WaitEstimator waitEstimator, RetryBudget retryBudget, IdleTimeouts idleTimeouts) {
    static ServiceState empty() {
        return new ServiceState(new FairQueue(), new WaitEstimator(), new RetryBudget(), new IdleTimeouts());
    }
}
