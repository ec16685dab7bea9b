package org.geraniumstand.standins.load;

/**
 * The mix of requests of a deployment.
 *
 * @param orders share of orders without a key
 * @param keyedOrders share of orders with an idempotency key
 * @param wholeCompletions share of completions in one piece; the rest streams
 * @param minTokens fewest tokens of an answer
 * @param spreadTokens tokens that an answer may have beyond, not included
 * @param prefixRepeats length of the prompt that shops share, in sentences
 */
public record Profile(
        double orders,
        double keyedOrders,
        double wholeCompletions,
        int minTokens,
        int spreadTokens,
        int prefixRepeats) {
    /** Dunmore Sandcraft: long specifications, few orders. */
    public static final Profile DUNMORE = new Profile(0.05, 0.1, 0.15, 20, 60, 40);

    /** Cascadia Hearthguard Labs: short answers, many orders. */
    public static final Profile HEARTHGUARD = new Profile(0.1, 0.2, 0.2, 10, 40, 20);

    /**
     * Returns a profile by its name.
     *
     * @param name dunmore or hearthguard
     */
    public static Profile named(String name) {
        return switch (name) {
            case "dunmore" -> DUNMORE;
            case "hearthguard" -> HEARTHGUARD;
            default -> throw new IllegalArgumentException(name + ": not a profile; there are dunmore and hearthguard");
        };
    }
}
