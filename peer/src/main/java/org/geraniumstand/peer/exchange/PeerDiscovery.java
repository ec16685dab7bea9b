package org.geraniumstand.peer.exchange;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.geraniumstand.model.member.Member;

/** Selects addresses at which to look for members that are not known to be alive; confined to one thread. */
final class PeerDiscovery {
    private static final long ISOLATED_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long CONNECTED_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final Set<Address> seeds;
    private final Random random;
    private final Set<Address> listedAddresses = new LinkedHashSet<>();
    private long lastReturnedNanos;
    private boolean started;

    /**
     * Represents an address where a peer may listen.
     *
     * @param host IP address
     * @param port TCP port
     */
    record Address(String host, int port) {
        static Address of(Member member) {
            return new Address(member.address(), member.peerPort());
        }

        // The generated record methods are linked at run time, which adds some milliseconds to every startup.
        @Override
        public boolean equals(Object other) {
            return other instanceof Address address && port == address.port && host.equals(address.host);
        }

        @Override
        public int hashCode() {
            return 31 * host.hashCode() + port;
        }
    }

    PeerDiscovery(Collection<Address> seeds, Random random) {
        this.seeds = Set.copyOf(seeds);
        this.random = random;
    }

    void onListedMembers(Collection<Member> members) {
        listedAddresses.clear();
        members.forEach(member -> listedAddresses.add(Address.of(member)));
    }

    /** Returns the addresses to contact now: all of them on the first call, later a random one per period. */
    List<Address> nextAddresses(Collection<Member> alive, Collection<Member> dropped, boolean isolated, long nowNanos) {
        if (started && nowNanos - lastReturnedNanos < (isolated ? ISOLATED_PERIOD_NANOS : CONNECTED_PERIOD_NANOS)) {
            return List.of();
        }
        Set<Address> candidates = new LinkedHashSet<>(seeds);
        candidates.addAll(listedAddresses);
        dropped.forEach(member -> candidates.add(Address.of(member)));
        alive.forEach(member -> candidates.remove(Address.of(member)));
        lastReturnedNanos = nowNanos;
        List<Address> list = new ArrayList<>(candidates);
        if (!started || list.isEmpty()) {
            started = true;
            return list;
        }
        return List.of(list.get(random.nextInt(list.size())));
    }
}
