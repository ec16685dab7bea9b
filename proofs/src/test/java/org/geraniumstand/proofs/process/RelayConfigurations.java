package org.geraniumstand.proofs.process;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.geraniumstand.support.json.JsonTree;

/** Builds configurations as the operator of the platform writes them. */
final class RelayConfigurations {
    private static final int ENGINE_SLOTS = 64;
    private static final int ENGINE_TOKENS = 475_895;
    private static final int MAX_CONNECTIONS = 360;
    private static final int TENANT_RATE = 100_000;
    private static final double COLD_REQUESTS_PER_SECOND = 17;

    private final ObjectNode configuration = JsonTree.object().put("version", 7);
    private final ArrayNode routes = configuration.putArray("routes");
    private final ArrayNode tenants = configuration.putArray("tenants");
    private final ArrayNode services = configuration.putArray("services");

    private RelayConfigurations() {
        ObjectNode limits = configuration.putObject("limits");
        limits.put("maxHeaderBytes", 16_384).put("maxBodyBytes", 4_194_304);
        limits.put("headerTimeoutMs", 3_000).put("idleTimeoutMs", 15_000);
    }

    static RelayConfigurations builder() {
        return new RelayConfigurations();
    }

    /** Adds a route whose prefix is its name; streams may be resumed at another server or not. */
    RelayConfigurations route(
            String name, String service, String kind, boolean resumable, int maxAttempts, int timeoutMillis) {
        ObjectNode route = routes.addObject();
        route.put("name", name).put("host", RelayCluster.HOST).put("prefix", '/' + name + '/');
        route.put("kind", kind).put("timeoutMs", timeoutMillis).put("targetLatencyMs", 300);
        route.put("priority", 1).put("service", service).put("maxAttempts", maxAttempts);
        route.put("public", true).put("sessionAffinity", kind.equals("streaming"));
        if (kind.equals("streaming")) {
            route.put("streamResume", resumable).put("gapAimMs", 400);
        }
        return this;
    }

    /** Adds a service of servers with a number of slots each. */
    RelayConfigurations service(String name) {
        newService(name).put("coldStartS", 0.0).put("coldPerS", 0.0);
        return this;
    }

    /** Adds a service of model servers, which run requests in batches. */
    RelayConfigurations modelService(String name) {
        ObjectNode service = newService(name).put("coldStartS", 3.0).put("coldPerS", COLD_REQUESTS_PER_SECOND);
        service.putObject("engine").put("slots", ENGINE_SLOTS).put("kvCapacityTokens", ENGINE_TOKENS);
        return this;
    }

    /** Adds a tenant with one API key and an ample quota. */
    RelayConfigurations tenant(String name, String apiKey) {
        ObjectNode tenant = tenants.addObject().put("name", name).put("priority", 1);
        tenant.put("ratePerS", TENANT_RATE)
                .put("burst", TENANT_RATE)
                .putArray("apiKeys")
                .add(apiKey);
        return this;
    }

    private ObjectNode newService(String name) {
        return services.addObject()
                .put("name", name)
                .put("healthPath", "/healthz")
                .put("maxConnections", MAX_CONNECTIONS)
                .put("protocol", "h1")
                .put("tls", false);
    }

    String build() {
        return JsonTree.write(configuration);
    }
}
