package org.geraniumstand.proofs.process;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import org.geraniumstand.model.config.Configuration;
import org.geraniumstand.model.config.HostPool;
import org.geraniumstand.model.config.Preset;
import org.geraniumstand.model.config.Priority;
import org.geraniumstand.model.config.Repeatability;
import org.geraniumstand.model.config.Route;
import org.geraniumstand.model.config.Service;
import org.geraniumstand.model.config.ServiceKind;
import org.geraniumstand.model.config.Team;
import org.geraniumstand.model.id.DataCentreId;
import org.geraniumstand.model.id.PresetId;
import org.geraniumstand.model.id.RouteId;
import org.geraniumstand.model.id.ServiceId;
import org.geraniumstand.model.id.TeamId;
import org.geraniumstand.model.id.VersionId;

/** Creates the configuration that the cluster tests start with. */
final class TestConfigurations {
    static final String COUNTER_TOKEN = "counter-secret";
    static final String STOCK_NOTES_TOKEN = "stock-notes-secret";
    static final ServiceId MODEL = new ServiceId("board-model");
    static final ServiceId ORDERS = new ServiceId("order-desk");
    static final VersionId OLD_VERSION = new VersionId("v1");
    static final VersionId NEW_VERSION = new VersionId("v2");
    static final List<String> DATA_CENTRES = List.of("dc-a", "dc-b", "dc-c");
    static final PresetId ORDINARY = new PresetId("ordinary");
    static final PresetId PEAK = new PresetId("peak");

    private static final int RESPONSE_TIMEOUT_MILLIS = 2_000;
    private static final int MAX_BODY_BYTES = 64 * 1024;

    private TestConfigurations() {}

    static Configuration initial() {
        return new Configuration(
                1,
                1,
                ORDINARY,
                List.of(new Preset(ORDINARY, 500, 60, 2, 1, 50), new Preset(PEAK, 800, 80, 3, 2, 50)),
                List.of(
                        new Service(MODEL, ServiceKind.MODEL, OLD_VERSION, 2, 32, RESPONSE_TIMEOUT_MILLIS),
                        new Service(ORDERS, ServiceKind.PLAIN, OLD_VERSION, 8, 64, RESPONSE_TIMEOUT_MILLIS)),
                List.of(
                        new Route(
                                new RouteId("chat"),
                                "/v1/chat/completions",
                                MODEL,
                                Repeatability.IDEMPOTENT,
                                MAX_BODY_BYTES,
                                ""),
                        new Route(
                                new RouteId("orders"),
                                "/orders",
                                ORDERS,
                                Repeatability.AT_MOST_ONCE,
                                MAX_BODY_BYTES,
                                "/orders/{key}")),
                List.of(
                        new Team(new TeamId("counter"), sha256(COUNTER_TOKEN), 3, Priority.INTERACTIVE),
                        new Team(new TeamId("stock-notes"), sha256(STOCK_NOTES_TOKEN), 1, Priority.BATCH)),
                DATA_CENTRES.stream()
                        .map(dc -> new HostPool(new DataCentreId(dc), "gpu-l", true, 300))
                        .toList(),
                Set.of(),
                List.of(),
                "");
    }

    private static String sha256(String text) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            return HexFormat.of().formatHex(digest.digest(text.getBytes(StandardCharsets.UTF_8)));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available in this Java runtime", e);
        }
    }
}
