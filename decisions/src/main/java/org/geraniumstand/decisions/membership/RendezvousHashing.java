package org.geraniumstand.decisions.membership;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Function;
import java.util.function.ToLongFunction;

/**
 * Selects candidates by rendezvous hashing, so that adding or removing a candidate remaps only the keys of that
 * candidate.
 *
 * <p>Source: Thaler and Ravishankar, "A Name-Based Mapping Scheme for Rendezvous", 1996.
 */
public final class RendezvousHashing {
    private static final long FNV_OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private RendezvousHashing() {}

    /**
     * Returns the candidate with the highest weight for a key.
     *
     * @param key the key to map
     * @param candidates the candidates
     * @param name returns the name of a candidate
     * @param <T> type of the candidates
     */
    public static <T> Optional<T> first(String key, Collection<T> candidates, Function<T, String> name) {
        return candidates.stream().max(byWeight(key, name));
    }

    /**
     * Returns the candidates with the highest weights for a key, in descending order of weight.
     *
     * @param key the key to map
     * @param candidates the candidates
     * @param name returns the name of a candidate
     * @param count maximum number of candidates to return
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
     * Returns the candidates with the highest weights, in descending order of weight.
     *
     * <p>Each weight is computed only once, because hundreds of candidates are evaluated again whenever one of them
     * changes.
     *
     * @param candidates the candidates
     * @param weight returns the weight of a candidate
     * @param tieBreaker orders candidates of equal weight
     * @param count maximum number of candidates to return
     * @param <T> type of the candidates
     */
    public static <T> List<T> highest(
            Collection<T> candidates, ToLongFunction<T> weight, Comparator<? super T> tieBreaker, int count) {
        return candidates.stream()
                .map(candidate -> new Weighted<>(candidate, weight.applyAsLong(candidate)))
                .sorted(Comparator.<Weighted<T>>comparingLong(Weighted::weight)
                        .reversed()
                        .thenComparing(Weighted::candidate, tieBreaker))
                .limit(count)
                .map(Weighted::candidate)
                .toList();
    }

    private record Weighted<T>(T candidate, long weight) {}

    /**
     * Returns the weight of a candidate for a key, uniformly distributed over all long values.
     *
     * @param key the key to map
     * @param name the name of the candidate
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
        long hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return hash;
    }

    // The output function of the generator changes half of all bits for each changed bit of its seed.
    private static long mix(long value) {
        return new SplittableRandom(value).nextLong();
    }
}
