/** A layer may import from itself and from what lies below it; the order is base, platform, features, entries. */
const layerZones = [
	{target: './src/base', from: './src/{platform,features,entries}/**/*', message: 'base imports nothing above it'},
	{target: './src/platform', from: './src/{features,entries}/**/*', message: 'platform imports only base'},
	{target: './src/features', from: './src/entries/**/*', message: 'features import only platform and base'},
	{target: './src', from: './{standins,fleet,bench,test}/**/*', message: 'production code imports no stand-in, bench or test'},
	{target: './standins', from: './{fleet,bench,test}/**/*', message: 'stand-ins import no fleet, bench or test'},
	{target: './fleet', from: './{bench,test}/**/*', message: 'the fleet imports no bench or test'},
];

/** @type {import('xo').FlatXoConfig} */
const config = [
	{
		rules: {
			'import-x/no-restricted-paths': ['error', {zones: layerZones}],
			// Contribution and policy files register themselves when they are imported.
			'import-x/no-unassigned-import': ['error', {allow: ['**/*.contribution.js', '**/policies/*.js', '**/cases/*.js']}],
			// The entry points decide how the process ends, and report on standard output.
			'unicorn/no-process-exit': 'off',
			// Doubled work is avoided by hand where it matters; sequential awaits are the point of the loops here.
			'no-await-in-loop': 'off',
			// Contracts are abstract classes by the house style, and some have one method.
			'@typescript-eslint/class-literal-property-style': 'off',
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
