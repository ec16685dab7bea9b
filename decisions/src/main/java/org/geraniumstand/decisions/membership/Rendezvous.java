package org.geraniumstand.decisions.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Function;
import java.util.function.ToLongFunction;

/**
 * Chooses candidates by highest random weight, so that a change of one candidate moves only its own share.
 *
 * <p>Source: Thaler and Ravishankar, "A Name-Based Mapping Scheme for Rendezvous", 1996.
 */
public final class Rendezvous {
    private static final long OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long PRIME = 0x100000001b3L;

    private Rendezvous() {}

    /**
     * Returns the candidate with the highest weight for a key.
     *
     * @param key what is looked for
     * @param candidates the candidates
     * @param name names a candidate
     * @param <T> type of the candidates
     */
    public static <T> Optional<T> first(String key, Collection<T> candidates, Function<T, String> name) {
        return candidates.stream().max(byWeight(key, name));
    }

    /**
     * Returns the candidates with the highest weights for a key, the highest in front.
     *
     * @param key what is looked for
     * @param candidates the candidates
     * @param name names a candidate
     * @param count how many to return at most
     * @param <T> type of the candidates
     */
    public static <T> List<T> top(String key, Collection<T> candidates, Function<T, String> name, int count) {
        long seed = mix(hash(key));
        return highest(
                candidates,
                candidate -> mix(seed ^ hash(name.apply(candidate))),
                Comparator.comparing(name).reversed(),
                count);
    }

    /**
     * Returns the candidates with the highest weights, the highest in front.
     *
     * <p>Each weight is worked out once: hundreds of candidates are looked at anew with each change of one of them.
     *
     * @param candidates the candidates
     * @param weight the weight of a candidate
     * @param tie which one goes in front where weights are equal
     * @param count how many to return at most
     * @param <T> type of the candidates
     */
    public static <T> List<T> highest(
            Collection<T> candidates, ToLongFunction<T> weight, Comparator<? super T> tie, int count) {
        return candidates.stream()
                .map(candidate -> new Weighed<>(candidate, weight.applyAsLong(candidate)))
                .sorted(Comparator.<Weighed<T>>comparingLong(Weighed::weight)
                        .reversed()
                        .thenComparing(Weighed::candidate, tie))
                .limit(count)
                .map(Weighed::candidate)
                .toList();
    }

    private record Weighed<T>(T candidate, long weight) {}

    /**
     * Returns the weight of a candidate for a key, evenly spread over all values.
     *
     * @param key what is looked for
     * @param name the candidate's name
     */
    public static long weight(String key, String name) {
        return mix(mix(hash(key)) ^ hash(name));
    }

    private static <T> Comparator<T> byWeight(String key, Function<T, String> name) {
        long seed = mix(hash(key));
        return Comparator.<T>comparingLong(candidate -> mix(seed ^ hash(name.apply(candidate))))
                .thenComparing(name);
    }

    private static long hash(String text) {
        long hash = OFFSET_BASIS;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * PRIME;
        }
        return hash;
    }

    // The generator's output function changes half of all bits for each changed bit of its seed.
    private static long mix(long value) {
        return new SplittableRandom(value).nextLong();
    }
}
