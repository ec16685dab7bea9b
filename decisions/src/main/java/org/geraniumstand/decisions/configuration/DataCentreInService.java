package org.geraniumstand.decisions.configuration;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.ConfigurationFinding;
import org.geraniumstand.model.config.HostPool;
import org.geraniumstand.model.id.DataCentreId;

/** Prevents operators from taking the last data centre out of service by mistake. */
@Decision(
        name = "data-centre-remains",
        summary = "A configuration that takes all data centres out of service is rejected unless it is forced.")
public final class DataCentreInService implements ConfigurationRule {
    @Override
    public List<ConfigurationFinding> check(Configuration next, CheckContext context) {
        Set<DataCentreId> withPools =
                next.pools().stream().map(HostPool::dataCentre).collect(Collectors.toSet());
        Findings findings = new Findings();
        findings.errorIf(
                !context.force()
                        && !withPools.isEmpty()
                        && next.dataCentresOut().containsAll(withPools),
                "dataCentresOut",
                "all data centres would be out of service and every request refused; use --force to accept it");
        return findings.toList();
    }
}
