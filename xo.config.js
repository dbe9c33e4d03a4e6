/** Folders that the files of a folder may not import from: a layer imports only from itself and from what lies below. */
const forbidden = {
	platform: ['entries', 'standins', 'fleet', 'bench', 'soak', 'test'],
	'src/base': ['platform', 'features', 'entries', 'standins', 'fleet', 'bench', 'soak', 'test'],
	'src/runtime': ['platform', 'features', 'entries', 'standins', 'fleet', 'bench', 'soak', 'test'],
	'src/features': ['platform', 'entries', 'standins', 'fleet', 'bench', 'soak', 'test'],
	'src/entries': ['standins', 'fleet', 'bench', 'soak', 'test'],
	standins: ['fleet', 'bench', 'soak', 'test'],
	fleet: ['bench', 'soak', 'test'],
	soak: ['bench', 'test'],
};

/** Imports that would make the bundle differ from the compiled modules, on which most tests run. */
const paths = [{name: 'cbor-x', message: 'Use cbor.ts: this entry point loads a native part that the bundle lacks.'}];

const layers = Object.entries(forbidden).map(([folder, folders]) => ({
	files: [`${folder}/**/*.ts`],
	rules: {
		'no-restricted-imports': ['error', {
			paths,
			patterns: [{group: folders.map(name => `**/${name}/**`), message: `${folder} imports only from its own layer and from below it.`}],
		}],
	},
}));

/** @type {import('xo').FlatXoConfig} */
const config = [
	{rules: {'no-restricted-imports': ['error', {paths}]}},
	...layers,
	{
		rules: {
			// Contribution and policy files register themselves when they are imported.
			'import-x/no-unassigned-import': ['error', {allow: ['**/*.contribution.js', '**/policies/*.js', '**/cases/*.js', '**/early-signals.js']}],
			// The entry points decide how the process ends, and report on standard output.
			'unicorn/no-process-exit': 'off',
			// Doubled work is avoided by hand where it matters; sequential awaits are the point of the loops here.
			'no-await-in-loop': 'off',
			// Contracts are abstract classes by the house style, and some have one method.
			'@typescript-eslint/class-literal-property-style': 'off',
		},
	},
	{
		files: ['platform/**/*.ts', 'standins/store/*.ts', 'standins/worker/*.ts', 'standins/*.ts', 'test/platform/*.ts'],
		rules: {
			// The names on the wire are the platform's; only the adapter and its stand-ins know them.
			'@typescript-eslint/naming-convention': 'off',
		},
	},
	{
		files: ['src/entries/edge/main.ts'],
		rules: {
			// What is imported first is evaluated first, and signals have to be taken before libraries are loaded.
			'import-x/order': 'off',
		},
	},
	{
		files: ['test/**/*.ts'],
		rules: {
			// The runner awaits its own tests.
			'@typescript-eslint/no-floating-promises': 'off',
		},
	},
	{
		files: ['**/*.js', '**/*.mjs'],
		rules: {'n/file-extension-in-import': 'off'},
	},
];

export default config;
