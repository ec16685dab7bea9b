package org.geraniumstand.decisions.routing;

/**
 * A straight line through samples, in which older samples count less.
 *
 * <p>It starts from a given line, which counts as a few samples, so that the first real ones do not throw it about.
 */
public final class LinearFit {
    private static final double KEEP = 0.995;
    private static final double START_WEIGHT = 8;

    private double weight;
    private double sumX;
    private double sumY;
    private double sumXx;
    private double sumXy;

    /**
     * Creates a fit that starts as a given line.
     *
     * @param intercept value at zero
     * @param slope growth a unit of x
     * @param spreadX distance over which the given line is believed, above zero
     */
    public LinearFit(double intercept, double slope, double spreadX) {
        seed(0, intercept, START_WEIGHT);
        seed(spreadX, intercept + slope * spreadX, START_WEIGHT);
    }

    private void seed(double sampleX, double sampleY, double times) {
        weight += times;
        sumX += sampleX * times;
        sumY += sampleY * times;
        sumXx += sampleX * sampleX * times;
        sumXy += sampleX * sampleY * times;
    }

    /**
     * Takes in a sample.
     *
     * @param sampleX where it was taken
     * @param sampleY what was seen
     */
    public void add(double sampleX, double sampleY) {
        weight *= KEEP;
        sumX *= KEEP;
        sumY *= KEEP;
        sumXx *= KEEP;
        sumXy *= KEEP;
        seed(sampleX, sampleY, 1);
    }

    /** Returns the slope, never below zero. */
    public double slope() {
        double spread = weight * sumXx - sumX * sumX;
        if (spread < 1e-6 * weight * weight) {
            return 0;
        }
        return Math.max(0, (weight * sumXy - sumX * sumY) / spread);
    }

    /** Returns the value at zero, never below zero. */
    public double intercept() {
        return Math.max(0, (sumY - slope() * sumX) / weight);
    }

    /**
     * Returns the value of the line.
     *
     * @param at where
     */
    public double at(double at) {
        return intercept() + slope() * at;
    }
}
