package io.lentilstream.jobs.scheduling;

import java.util.Arrays;

/**
 * An online ridge regression with priors for the coefficients and exponential forgetting.
 */
final class RidgeRegression {

	private final double prior;

	private double[] priors = new double[0];

	private final double priorWeight;

	private final double retention;

	private double[][] squares = new double[0][0];

	private double[] products = new double[0];

	private double[] coefficients = new double[0];

	private boolean stale;

	/**
	 * Creates a regression without observations.
	 * @param prior the default prior of each coefficient
	 * @param priorWeight the weight of the prior relative to the sum of squared inputs
	 * @param retention the factor by which each observation reduces the weight of the
	 * previous ones
	 */
	RidgeRegression(double prior, double priorWeight, double retention) {
		this.prior = prior;
		this.priorWeight = priorWeight;
		this.retention = retention;
	}

	/**
	 * Adds an observation.
	 * @param inputs the inputs; there may be more than in previous observations
	 * @param output the output
	 */
	void observe(double[] inputs, double output) {
		resize(inputs.length);
		for (int row = 0; row < this.products.length; row++) {
			double input = (row < inputs.length) ? inputs[row] : 0;
			this.products[row] = this.retention * this.products[row] + input * output;
			for (int column = 0; column < this.products.length; column++) {
				double other = (column < inputs.length) ? inputs[column] : 0;
				this.squares[row][column] = this.retention * this.squares[row][column] + input * other;
			}
		}
		this.stale = true;
	}

	double coefficient(int index) {
		if (this.stale) {
			this.stale = false;
			solve();
		}
		return (index < this.coefficients.length) ? this.coefficients[index] : priorOf(index);
	}

	/**
	 * Replaces the prior of one coefficient.
	 * @param index the index of the coefficient
	 * @param value the prior
	 */
	void setPrior(int index, double value) {
		int previousLength = this.priors.length;
		if (index >= previousLength) {
			this.priors = Arrays.copyOf(this.priors, index + 1);
			Arrays.fill(this.priors, previousLength, index, this.prior);
		}
		this.priors[index] = value;
		this.stale = true;
	}

	private double priorOf(int index) {
		return (index < this.priors.length) ? this.priors[index] : this.prior;
	}

	private void resize(int size) {
		if (size <= this.products.length) {
			return;
		}
		this.products = Arrays.copyOf(this.products, size);
		double[][] larger = new double[size][];
		for (int row = 0; row < size; row++) {
			larger[row] = (row < this.squares.length) ? Arrays.copyOf(this.squares[row], size) : new double[size];
		}
		this.squares = larger;
	}

	// Gaussian elimination; the prior keeps the matrix positive definite.
	private void solve() {
		int size = this.products.length;
		double[][] rows = new double[size][size + 1];
		for (int row = 0; row < size; row++) {
			System.arraycopy(this.squares[row], 0, rows[row], 0, size);
			rows[row][row] += this.priorWeight;
			rows[row][size] = this.products[row] + this.priorWeight * priorOf(row);
		}
		for (int pivot = 0; pivot < size; pivot++) {
			for (int row = pivot + 1; row < size; row++) {
				double factor = rows[row][pivot] / rows[pivot][pivot];
				for (int column = pivot; column <= size; column++) {
					rows[row][column] -= factor * rows[pivot][column];
				}
			}
		}
		this.coefficients = new double[size];
		for (int row = size - 1; row >= 0; row--) {
			double remainder = rows[row][size];
			for (int column = row + 1; column < size; column++) {
				remainder -= rows[row][column] * this.coefficients[column];
			}
			this.coefficients[row] = remainder / rows[row][row];
		}
	}

}
