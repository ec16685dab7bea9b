package org.geraniumstand.http.upstream;

import java.net.URI;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Keeps the parsed origin of each address, as parsing it for each request would cost more than the look-up. */
final class Origins {
    private static final int MAX_KEPT = 4_096;

    private final Map<Address, Origin> kept = new ConcurrentHashMap<>();

    private record Address(String host, int port) {}

    Origin of(String host, int port) {
        Address address = new Address(host, port);
        Origin known = kept.get(address);
        if (known != null) {
            return known;
        }
        if (kept.size() >= MAX_KEPT) {
            kept.clear();
        }
        String authority = host + ":" + port;
        Origin origin = new Origin(URI.create("http://" + authority), authority);
        kept.put(address, origin);
        return origin;
    }
}
