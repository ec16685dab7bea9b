package rig;

/** Writes configurations of a small deployment as an operator does. */
public final class Config {
    private Config() {}

    public static String route(String name, String prefix, String kind, long timeoutMs, long targetMs, String service,
            int attempts, boolean resume) {
        return "{\"name\":\"" + name + "\",\"host\":\"shop.example\",\"prefix\":\"" + prefix + "\",\"kind\":\"" + kind
                + "\",\"timeoutMs\":" + timeoutMs + ",\"targetLatencyMs\":" + targetMs + ",\"priority\":0,\"service\":\"" + service
                + "\",\"maxAttempts\":" + attempts + ",\"public\":false,\"sessionAffinity\":" + kind.equals("streaming")
                + ",\"streamResume\":" + resume + (kind.equals("streaming") ? ",\"gapAimMs\":400" : "") + "}";
    }

    public static String model(String name, int slots, int connections) {
        return model(name, slots, connections, 0, 0);
    }

    public static String model(String name, int slots, int connections, double coldStartS, double coldPerS) {
        return "{\"name\":\"" + name + "\",\"healthPath\":\"/healthz\",\"maxConnections\":" + connections
                + ",\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":" + coldStartS + ",\"coldPerS\":" + coldPerS + ",\"engine\":{\"slots\":" + slots
                + ",\"kvCapacityTokens\":475895,\"kvTokenBytes\":35136,\"linkMbps\":550000.0,\"moves\":true,\"backups\":true,"
                + "\"stride\":5,\"most\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,\"handleS\":5.0,\"models\":[{\"name\":\"m\"}]}}";
    }

    public static String desk(String name, int connections) {
        return "{\"name\":\"" + name + "\",\"healthPath\":\"/healthz\",\"maxConnections\":" + connections
                + ",\"protocol\":\"h1\",\"tls\":false,\"coldStartS\":0.0,\"coldPerS\":0.0}";
    }

    public static String all(long version, String routes, String services) {
        return "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[" + services
                + "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
    }
}
