package org.geraniumstand.decisions.flow;

import org.geraniumstand.decisions.admission.FairQueue;
import org.geraniumstand.decisions.admission.WaitEstimate;
import org.geraniumstand.decisions.retry.RetryBudget;
import org.geraniumstand.decisions.retry.SilenceLimits;

/** What a process keeps for each service. */
record ServiceWork(FairQueue queue, WaitEstimate waits, RetryBudget retries, SilenceLimits silence) {
    static ServiceWork empty() {
        return new ServiceWork(new FairQueue(), new WaitEstimate(), new RetryBudget(), new SilenceLimits());
    }
}
