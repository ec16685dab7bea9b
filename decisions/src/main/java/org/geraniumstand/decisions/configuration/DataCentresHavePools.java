package org.geraniumstand.decisions.configuration;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.geraniumstand.decisions.Decision;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.ConfigurationFinding;
import org.geraniumstand.model.config.HostPool;
import org.geraniumstand.model.id.DataCentreId;

/** Warns about a data centre that is taken out of service but has no host pool. */
@Decision(
        name = "data-centres-known",
        summary = "A data centre that is taken out of service but has no host pool may be misspelled.")
public final class DataCentresHavePools implements ConfigurationRule {
    @Override
    public List<ConfigurationFinding> check(Configuration next, CheckContext _context) {
        Findings findings = new Findings();
        Set<DataCentreId> withPools =
                next.pools().stream().map(HostPool::dataCentre).collect(Collectors.toSet());
        next.dataCentresOut().stream()
                .sorted()
                .forEach(out -> findings.warningIf(
                        !withPools.contains(out), "dataCentresOut", "no host pool is in data centre " + out));
        return findings.toList();
    }
}
