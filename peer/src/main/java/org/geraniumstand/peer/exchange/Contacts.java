package org.geraniumstand.peer.exchange;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.geraniumstand.model.member.Member;

/** Chooses addresses where members may be found that are not known to be alive; belongs to one thread. */
final class Contacts {
    private static final long ALONE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long CALM_NANOS = TimeUnit.SECONDS.toNanos(5);

    private final Set<Address> seeds;
    private final Random random;
    private final Set<Address> listed = new LinkedHashSet<>();
    private long lastNanos;
    private boolean started;

    /**
     * Where a peer may listen.
     *
     * @param host IP number
     * @param port port
     */
    record Address(String host, int port) {
        static Address of(Member member) {
            return new Address(member.address(), member.peerPort());
        }

        // The methods that the compiler generates are linked at run time, which costs each start some milliseconds.
        @Override
        public boolean equals(Object other) {
            return other instanceof Address same && port == same.port && host.equals(same.host);
        }

        @Override
        public int hashCode() {
            return 31 * host.hashCode() + port;
        }
    }

    Contacts(Collection<Address> seeds, Random random) {
        this.seeds = Set.copyOf(seeds);
        this.random = random;
    }

    void onListed(Collection<Member> members) {
        listed.clear();
        members.forEach(member -> listed.add(Address.of(member)));
    }

    /** Returns the addresses to try now; all at the start, later one at a time. */
    List<Address> due(Collection<Member> alive, Collection<Member> dropped, boolean alone, long nowNanos) {
        if (started && nowNanos - lastNanos < (alone ? ALONE_NANOS : CALM_NANOS)) {
            return List.of();
        }
        Set<Address> candidates = new LinkedHashSet<>(seeds);
        candidates.addAll(listed);
        dropped.forEach(member -> candidates.add(Address.of(member)));
        alive.forEach(member -> candidates.remove(Address.of(member)));
        lastNanos = nowNanos;
        List<Address> list = new ArrayList<>(candidates);
        if (!started || list.isEmpty()) {
            started = true;
            return list;
        }
        return List.of(list.get(random.nextInt(list.size())));
    }
}
