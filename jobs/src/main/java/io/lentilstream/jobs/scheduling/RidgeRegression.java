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
			this.coefficients = solve();
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

	/**
	 * Returns how certain each coefficient is, as the sum of squared inputs that would
	 * give the same certainty if no other input varied with this one.
	 * @param size the number of coefficients
	 * @return the weights of the observations, including that of the prior
	 */
	double[] weights(int size) {
		double[] weights = new double[size];
		Arrays.fill(weights, this.priorWeight);
		int known = Math.min(size, this.products.length);
		double[][] identity = new double[this.products.length][this.products.length];
		for (int row = 0; row < identity.length; row++) {
			identity[row][row] = 1;
		}
		double[][] inverse = solve(identity);
		for (int index = 0; index < known; index++) {
			weights[index] = 1 / inverse[index][index];
		}
		return weights;
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

	private double[] solve() {
		double[][] outputs = new double[this.products.length][1];
		for (int row = 0; row < outputs.length; row++) {
			outputs[row][0] = this.products[row] + this.priorWeight * priorOf(row);
		}
		double[][] solution = solve(outputs);
		return Arrays.stream(solution).mapToDouble((row) -> row[0]).toArray();
	}

	// Gaussian elimination with one column of outputs per system; the prior keeps the
	// matrix positive definite.
	private double[][] solve(double[][] outputs) {
		int size = this.products.length;
		double[][] rows = new double[size][];
		double[][] solution = new double[size][];
		for (int row = 0; row < size; row++) {
			rows[row] = this.squares[row].clone();
			rows[row][row] += this.priorWeight;
			solution[row] = outputs[row].clone();
		}
		for (int pivot = 0; pivot < size; pivot++) {
			for (int row = pivot + 1; row < size; row++) {
				double factor = rows[row][pivot] / rows[pivot][pivot];
				subtract(rows[row], factor, rows[pivot], pivot);
				subtract(solution[row], factor, solution[pivot], 0);
			}
		}
		for (int row = size - 1; row >= 0; row--) {
			for (int column = row + 1; column < size; column++) {
				subtract(solution[row], rows[row][column], solution[column], 0);
			}
			for (int column = 0; column < solution[row].length; column++) {
				solution[row][column] /= rows[row][row];
			}
		}
		return solution;
	}

	private static void subtract(double[] target, double factor, double[] values, int from) {
		for (int column = from; column < target.length; column++) {
			target[column] -= factor * values[column];
		}
	}

}
