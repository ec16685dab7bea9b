package org.geraniumstand.decisions.relay;

import java.util.List;
import org.geraniumstand.model.id.ProcessId;
import org.geraniumstand.model.relay.QuotaRequest;
import org.geraniumstand.model.relay.TeamUsage;

/**
 * A question of this process for units of quotas.
 *
 * @param aggregator the process to ask
 * @param usages units that this process has used since it started, by team in the question
 * @param request what this process holds and asks for
 */
public record QuotaQuestion(ProcessId aggregator, List<TeamUsage> usages, QuotaRequest request) {}
