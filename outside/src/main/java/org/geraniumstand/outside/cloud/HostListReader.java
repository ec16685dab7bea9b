package org.geraniumstand.outside.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.URISyntaxException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.geraniumstand.model.fleet.BackendServer;
import org.geraniumstand.model.fleet.ReclaimNotice;
import org.geraniumstand.model.result.Result;
import org.geraniumstand.model.timeline.Field;
import org.geraniumstand.support.json.Json;
import org.geraniumstand.support.json.JsonTree;
import org.geraniumstand.support.log.Log;
import org.geraniumstand.support.net.IpAddresses;

/** Parses the list of hosts entry by entry, so that an entry that cannot be used loses no other. */
final class HostListReader {
    private static final Log LOG = Log.of(HostListReader.class);

    private HostListReader() {}

    static Result<HostList.Listing, CloudError> read(String text) {
        JsonNode root;
        try {
            root = JsonTree.read(text);
        } catch (IOException _e) {
            return Result.err(CloudError.MALFORMED);
        }
        if (!root.path("servers").isArray() || !root.path("notices").isArray()) {
            return Result.err(CloudError.MALFORMED);
        }
        List<BackendServer> servers = readAll(root.path("servers"), BackendServer.class).stream()
                .filter(HostListReader::isUsable)
                .toList();
        return Result.ok(new HostList.Listing(servers, readAll(root.path("notices"), ReclaimNotice.class)));
    }

    private static <T> List<T> readAll(JsonNode entries, Class<T> type) {
        List<T> read = new ArrayList<>();
        for (JsonNode entry : entries) {
            Result<T, String> result = Json.read(entry.toString(), type);
            result.value().ifPresent(read::add);
            result.error().ifPresent(reason -> logUnusable(type.getSimpleName(), reason));
        }
        return read;
    }

    private static boolean isUsable(BackendServer server) {
        Optional<String> reason = unusableReason(server);
        reason.ifPresent(text -> logUnusable(String.valueOf(server.id()), text));
        return reason.isEmpty();
    }

    private static Optional<String> unusableReason(BackendServer server) {
        if (server.id() == null
                || server.service() == null
                || server.version() == null
                || server.dataCentre() == null
                || server.host() == null) {
            return Optional.of("a name is missing");
        }
        if (!IpAddresses.isPort(server.port()) || !isHost(server.address())) {
            return Optional.of("the address or the port cannot be connected to");
        }
        return Optional.empty();
    }

    private static boolean isHost(String address) {
        try {
            return new URI("http://" + address + ":1").getHost() != null;
        } catch (URISyntaxException _e) {
            return false;
        }
    }

    private static void logUnusable(String entry, String reason) {
        LOG.warn("host-list-entry-unusable", Field.of("entry", entry), Field.of("reason", reason));
    }
}
