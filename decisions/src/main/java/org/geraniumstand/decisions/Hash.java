package org.geraniumstand.decisions;

/** Computes deterministic, well-distributed hashes that are the same in every process. */
public final class Hash {
    private Hash() {}

    /**
     * Returns the FNV-1a hash of a string's UTF-16 code units, followed by {@link #mix}.
     *
     * @param text the string to hash
     */
    public static long of(String text) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
        }
        return mix(hash);
    }

    /**
     * Returns a hash in which every bit depends on all bits of the input.
     *
     * <p>Uses the finalizer of SplitMix64. Source: Steele and others, "Fast splittable pseudorandom number generators",
     * 2014.
     *
     * @param number the value to hash
     */
    public static long mix(long number) {
        long mixed = (number ^ (number >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }

    /**
     * Reduces a hash to the range from 0 (inclusive) to a bound (exclusive).
     *
     * @param hash the hash, treated as unsigned
     * @param bound the exclusive upper bound, greater than 0
     */
    public static int modulo(long hash, int bound) {
        return (int) Long.remainderUnsigned(hash, bound);
    }
}
