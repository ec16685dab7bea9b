package org.geraniumstand.decisions.routing;

/**
 * Fits a straight line to samples by least squares with exponentially decaying weights.
 *
 * <p>The fit starts from a given line that has the weight of several samples, so that the first measured samples do
 * not move it far.
 */
public final class LinearFit {
    private static final double DECAY = 0.995;
    private static final double INITIAL_WEIGHT = 8;

    private double weight;
    private double sumX;
    private double sumY;
    private double sumXx;
    private double sumXy;

    /**
     * Creates a fit with an initial line.
     *
     * @param intercept value at zero
     * @param slope increase per unit of x
     * @param spreadX distance on the x axis between the two points that represent the initial line, above zero
     */
    public LinearFit(double intercept, double slope, double spreadX) {
        addWeighted(0, intercept, INITIAL_WEIGHT);
        addWeighted(spreadX, intercept + slope * spreadX, INITIAL_WEIGHT);
    }

    private void addWeighted(double sampleX, double sampleY, double sampleWeight) {
        weight += sampleWeight;
        sumX += sampleX * sampleWeight;
        sumY += sampleY * sampleWeight;
        sumXx += sampleX * sampleX * sampleWeight;
        sumXy += sampleX * sampleY * sampleWeight;
    }

    /**
     * Adds a sample and decays the weight of all earlier ones.
     *
     * @param sampleX the x value
     * @param sampleY the measured y value
     */
    public void add(double sampleX, double sampleY) {
        weight *= DECAY;
        sumX *= DECAY;
        sumY *= DECAY;
        sumXx *= DECAY;
        sumXy *= DECAY;
        addWeighted(sampleX, sampleY, 1);
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
     * Returns the value of the line at a point.
     *
     * @param pointX the x value
     */
    public double valueAt(double pointX) {
        return intercept() + slope() * pointX;
    }
}
